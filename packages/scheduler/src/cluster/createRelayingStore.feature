Feature: Store calls go through a peer while the store turns a daemon away

    Background:
        Given a daemon with a store

    Scenario: A refused write is made through a peer
        Given the store turns the daemon away
        And a peer that reaches the store
        When the daemon writes a value
        Then the write is done through the peer

    Scenario: Without such a peer the write fails, and has had no effect
        Given the store turns the daemon away
        When the daemon writes a value
        Then the write fails as unavailable

    Scenario: A write whose answer is lost is not made a second time
        Given the answer to the next direct write is lost
        And a peer that reaches the store
        When the daemon writes a value
        Then the write fails as unclear

    Scenario Outline: An owner goes on without the store only while no other can exist
        Given <count> peers, <heard> of them heard from, <reaching> of these reaching the store
        Then another owner could exist unnoticed: <answer>

        Examples:
            | count | heard | reaching | answer |
            | 6     | 6     | 0        | no     |
            | 6     | 6     | 1        | yes    |
            | 6     | 3     | 0        | no     |
            | 6     | 2     | 0        | yes    |
            | 40    | 4     | 0        | no     |
