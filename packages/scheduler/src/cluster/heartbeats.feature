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
