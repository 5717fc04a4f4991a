Feature: A daemon that stops gives up what it holds in the store before its process may end

    Scenario: The leases of the owner have ended once the daemon is closed
        Given a store that answers after 10 ms
        And a daemon that is the owner
        When the daemon leaves and is closed at once
        Then the store holds neither the owner's record nor the member's

    Scenario: A stop ends although the store does not answer
        Given a store that answers after 1 ms
        And a daemon that is the owner
        When the store stops answering
        And the daemon leaves and is closed at once
        Then the store still holds the member's record

    Scenario Outline: The peers of a daemon learn that it leaves, even if it is closed at once
        Given a store that answers after 1 ms
        And a daemon that exchanges heartbeats with a peer <way>
        When the daemon leaves and is closed at once
        Then the peer neither relays store calls through the daemon nor calls it of its own accord

        Examples:
            | way          |
            | by datagrams |
            | by RPC       |
