Feature: Random crashes beside a task that crashes its workers

    Scenario Outline: Random crashes start a guilty task again and again, or give up other jobs
        When a guilty task beside <faults> is played for the seeds "<seeds>"
        Then no seed started the guilty task more than twice after its third crash
        And no seed gave up another job
        And no seed kept another job waiting

        Examples:
            | faults        | seeds      |
            | stray-crashes | 1-3 99 138 |
            | power-cuts    | 1-3 86     |
            | takeovers     | 1-2 6 9 52 |

    Scenario Outline: Crashes with other causes give up jobs beside a guilty task
        When a guilty task beside <faults> is played for the seeds "<seeds>"
        Then no seed gave up another job

        Examples:
            | faults     | seeds                               |
            | power-cuts | 19 21 33 36 40 42 71 77 78 92 97 99 |

    Scenario: A guilty task whose owners die with its workers is started too often beside random crashes
        When a guilty task beside takeovers is played for the seeds "89"
        Then no seed started the guilty task more than twice after its third crash

    Scenario: A guilty task is started too often beside power cuts
        When a guilty task beside power-cuts is played for the seeds "27 63 98"
        Then no seed started the guilty task more than twice after its third crash
