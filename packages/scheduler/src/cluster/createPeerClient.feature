Feature: A daemon outlives the planned stop of a peer

    # An ended session emits its error some turns of the event loop after the peer's GOAWAY frame has arrived.
    Scenario: A call while the connection that a peer has ended is still closing
        When a called peer stops, and the client calls it 0 to 20 turns of the event loop later
        Then no error was left unhandled

    Scenario: A reset while the connection that a peer has ended is still closing
        When a called peer stops, and the client resets its connection 0 to 20 turns of the event loop later
        Then no error was left unhandled

    Scenario: A call in progress when the peer stops is answered
        Given a called peer and a call to it in progress
        When the peer stops
        And the peer answers the call in progress
        Then the call in progress is answered
        And no error was left unhandled

    Scenario: A call in progress on a connection that the peer has ended outlasts the interval of pings
        Given a called peer and a call to it in progress
        When the peer stops
        And nothing is called for 1000 ms
        And the peer answers the call in progress
        Then the call in progress is answered
        And no error was left unhandled

    Scenario: A reset fails the calls in progress, and the next call opens a new connection
        Given a called peer and a call to it in progress
        When the client resets its connection
        Then the call in progress has failed as canceled
        And a new call is answered
        And no error was left unhandled

    Scenario: A call to a peer that has stopped fails with a refused connection
        Given a called peer and a call to it in progress
        When the peer answers the call in progress
        And the peer stops
        And the client resets its connection
        Then a new call has failed with a refused connection
        And no error was left unhandled

    Scenario: The calls to a peer do not keep failing after its connection has gone silent
        Given a called peer behind a proxy
        When all open connections of the proxy go silent
        Then one of the next 2 calls is answered
        When all open connections of the proxy go silent
        And nothing is called for 600 ms
        Then one of the next 1 calls is answered
        And no error was left unhandled

    Scenario: A connection that does not open is given up before the timeout of the call
        Given a peer whose queue of new connections is full
        Then a call to it has failed as canceled
        And no error was left unhandled
