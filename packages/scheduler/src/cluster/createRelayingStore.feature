Feature: Store calls are relayed through a peer while a daemon cannot reach the store

    Background:
        Given a daemon with a store

    Scenario: A write that cannot reach the store is relayed through a peer
        Given the daemon cannot reach the store
        And a peer that reaches the store
        When the daemon writes a value
        Then the write is made through the peer

    Scenario: Without a peer that reaches the store the write fails and has no effect
        Given the daemon cannot reach the store
        When the daemon writes a value
        Then the write fails with the error unavailable

    Scenario: A write whose answer is lost is not repeated through a peer
        Given the answer to the next direct write is lost
        And a peer that reaches the store
        When the daemon writes a value
        Then the write fails with the error unclear

    Scenario Outline: An owner continues without the store only while no newer owner can exist
        Given <count> peers, <responsive> of them responsive, <reaching> of these reaching the store
        Then a newer owner could exist unnoticed: <answer>

        Examples:
            | count | responsive | reaching | answer |
            | 6     | 6          | 0        | no     |
            | 6     | 6          | 1        | yes    |
            | 6     | 3          | 0        | no     |
            | 6     | 2          | 0        | yes    |
            | 40    | 4          | 0        | no     |
