Feature: Heartbeats cost a daemon the same in a cluster of any size

    Scenario: The intervals between heartbeats depend on the number of peers
        Then the heartbeat intervals match their snapshot

    Scenario Outline: A heartbeat with <count> peers is small
        Given a daemon that has heard from <count> peers
        Then its heartbeat lists 5 peers
        And its heartbeat takes less than 400 bytes

        Examples:
            | count |
            | 5     |
            | 97    |
            | 350   |

    Scenario: A daemon learns of all peers from heartbeats that list a few
        Given a daemon that has heard from 97 peers
        When another daemon receives 500 of its heartbeats
        Then the other daemon knows 98 peers

    Scenario: A daemon of a large cluster exchanges heartbeats with the owner and a few others
        Given a daemon that has heard from 97 peers
        Then it exchanges heartbeats with 8 peers
        When 3 of these peers fail twice
        Then it exchanges heartbeats with 11 peers
        When another peer becomes the owner
        Then it exchanges heartbeats with 12 peers, the owner among them

    Scenario: A daemon of a small cluster exchanges heartbeats with all peers
        Given a daemon that has heard from 6 peers
        Then it exchanges heartbeats with 6 peers
