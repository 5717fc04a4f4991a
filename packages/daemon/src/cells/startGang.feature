Feature: Starting all members of a gang or none

    Scenario: A gang without faults runs to completion and its usage is accounted
        When a gang runs without faults
        Then the states of its job over time match the snapshot

    Scenario Outline: A gang completes and never stays incomplete with the fault "<fault>" at any command
        When a gang is run with the fault "<fault>" at each of its commands in turn
        Then no gang runs incomplete for longer than the maximum time
        And every gang completes
        And the accounted usage matches the usage that the workers measured within <tolerance> accelerator-seconds

        Examples:
            | fault        | tolerance |
            | command lost | 0         |
            | answer lost  | 0         |
            | owner dies   | 0         |
            | owner paused | 0         |
            | worker dies  | 8         |

    Scenario Outline: A gang completes with the store fault "<fault>" at any write
        When a gang is run with the store fault "<fault>" at each of its writes in turn
        Then no gang runs incomplete for longer than the maximum time
        And every gang completes
        And the accounted usage matches the usage that the workers measured within 0 accelerator-seconds

        Examples:
            | fault       |
            | lost-answer |
            | lost-call   |
            | late        |
            | down        |

    Scenario: A new owner runs a gang a second time while a member runs on a worker that it does not reach
        When a gang runs and a new owner takes over that does not reach the worker of a member
        Then no member of the gang runs a second time within 5000 ms

    Scenario: A guarantee is reclaimed in a full cell within 7.4 s
        Given borrowing jobs fill the cell
        When the customer with the guarantee submits a gang
        Then the gang runs within 7400 ms
        And one borrowing job is queued again and each of its members has written a checkpoint

    Scenario Outline: A guarantee is reclaimed in a full cell with the fault "<fault>" at any command
        When a guarantee is reclaimed with the fault "<fault>" at each of the first 12 commands in turn
        Then no gang runs incomplete for longer than the maximum time
        And every gang completes

        Examples:
            | fault        |
            | command lost |
            | answer lost  |
            | owner dies   |
            | owner paused |

    Scenario: A worker that fails every task is ejected and the gang completes on other workers
        When a gang runs while one worker fails every task
        Then every gang completes
        And no gang runs incomplete for longer than the maximum time

    Scenario: A running gang survives a store outage of one hour
        When the store is unavailable for one hour while a gang runs
        Then no gang runs incomplete for longer than the maximum time
        And every gang completes
        And the accounted usage matches the usage that the workers measured within 0 accelerator-seconds
