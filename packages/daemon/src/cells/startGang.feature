Feature: Starting gangs whole or not at all

    Scenario: A gang runs, completes and is accounted without faults
        When a gang runs without faults
        Then its life is as in its snapshot

    Scenario Outline: A gang completes and is never left broken when <fault> at any command
        When a gang meets "<fault>" at each of its commands
        Then no gang runs broken beyond the bound
        And every gang completes
        And the usage is what the workers measured, within <tolerance> accelerator-seconds

        Examples:
            | fault        | tolerance |
            | command lost | 0         |
            | answer lost  | 0         |
            | owner dies   | 0         |
            | owner paused | 0         |
            | worker dies  | 8         |

    Scenario Outline: A gang completes when the store has "<fault>" at any write
        When a gang meets the store fault "<fault>" at each of its writes
        Then no gang runs broken beyond the bound
        And every gang completes
        And the usage is what the workers measured, within 0 accelerator-seconds

        Examples:
            | fault       |
            | lost-answer |
            | lost-call   |
            | late        |
            | down        |

    Scenario: A guarantee is reclaimed in a full cell within 7.4 s
        Given borrowers fill the cell
        When the owner of the guarantee submits a gang
        Then the gang runs within 7400 ms
        And the stopped borrowers have written checkpoints and wait whole

    Scenario Outline: A guarantee is reclaimed in a full cell when <fault> at any command
        When a guarantee is reclaimed and meets "<fault>" at each of the first 12 commands
        Then no gang runs broken beyond the bound
        And every gang completes

        Examples:
            | fault        |
            | command lost |
            | answer lost  |
            | owner dies   |
            | owner paused |

    Scenario: A worker that fails every task is taken out and the gang completes elsewhere
        When a gang runs while one worker fails every task
        Then every gang completes
        And no gang runs broken beyond the bound

    Scenario: A running gang outlives an hour without the store
        When the store is down for an hour while a gang runs
        Then no gang runs broken beyond the bound
        And every gang completes
        And the usage is what the workers measured, within 0 accelerator-seconds
