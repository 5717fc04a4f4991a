Feature: The stop of a daemon does not depend on what its peers still send

    Background:
        Given a daemon that serves its peers

    Scenario: A call whose message does not end does not hold up the stop
        When a peer sends a call whose message does not end
        Then the daemon stops serving its peers
        And no error was left unhandled

    Scenario: A connection without a call does not hold up the stop
        When a peer opens a connection and sends nothing
        Then the daemon stops serving its peers
        And no error was left unhandled

    Scenario: A connection whose peer is cut off, and does not close its side, does not hold up the stop
        When a peer opens a connection and is cut off
        Then the daemon stops serving its peers
        And no error was left unhandled

    Scenario: A relayed watch that waits for events is answered when the daemon stops
        When a peer relays a watch through the daemon
        Then the daemon stops serving its peers
        And the relayed watch is answered
        And no error was left unhandled
