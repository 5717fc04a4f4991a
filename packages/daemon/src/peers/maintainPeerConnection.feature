Feature: A daemon outlives the planned stop and the removal of a peer

    # An ended session emits its error some turns of the event loop after the peer's GOAWAY frame has arrived.
    Scenario: A member is removed while the connection that its daemon has ended is still closing
        When a connected peer stops, and its member is removed 0 to 20 turns of the event loop later
        Then no error was left unhandled

    Scenario: A peer is called while the connection that its daemon has ended is still closing
        When a connected peer stops, and it is called 0 to 20 turns of the event loop later
        Then no error was left unhandled
