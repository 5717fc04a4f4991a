Feature: The planned stop of a peer does not make a relayed write unclear

    Scenario: Writes that are relayed while a peer stops are made through another peer
        Given two peers that reach the store, and a daemon that relays its writes through them
        When the daemon goes on writing while the peer it prefers stops
        Then all writes are made
        And no error was left unhandled

    Scenario: Writes through a peer that has stopped are refused, with no other peer
        Given a peer that reaches the store, and a daemon that relays its writes through it
        When the daemon goes on writing while the peer it prefers stops
        Then each write that has failed is unavailable and has no effect
        And no error was left unhandled

    # Guards against opening the write's stream on a session that the peer has ended: it fails there, although unsent.
    Scenario: A write that waits for a ping while a peer stops is made through another peer
        Given two peers that reach the store, and a daemon that relays its writes through them
        When the peer that the daemon prefers stops while a write waits for the answer to a ping
        Then all writes are made
        And no error was left unhandled

    Scenario: A write that is cut off in a peer is unclear and not repeated
        Given two peers that reach the store, and a daemon that relays its writes through them
        When the peer that the daemon prefers is cut off during a write
        Then the write is unclear, and is sent to the store only once
        And no error was left unhandled

    Scenario Outline: A write is not taken for unprocessed because of what a peer says
        Given two peers that reach the store, and a daemon that relays its writes through them
        When the peer that the daemon prefers makes a write, and fails with the message "<message>"
        Then the write is unclear, and is sent to the store only once

        Examples:
            | message                                          |
            | connect ECONNREFUSED 127.0.0.1:1                 |
            | Stream closed with error code REFUSED_STREAM     |
