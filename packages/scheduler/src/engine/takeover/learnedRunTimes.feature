Feature: A new owner adopts the run times that earlier owners learned

    Background:
        Given a fleet of 4 workers with an owner

    Scenario: A new owner knows the slow machine before it has seen a run
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And 3 seconds pass
        And the owner dies
        And a new owner takes over
        Then only w3 counts as slow
        And the new owner expects the run times that the first one expected

    Scenario Outline: A new owner begins without the learned run times if <fault>
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And 3 seconds pass
        And the owner dies
        And the snapshot of run times <fault>
        And a new owner takes over
        And ana submits the normal job J of "2 x 2"
        Then no worker counts as slow or fast
        And 2 tasks of J run

        Examples:
            | fault                         |
            | is lost                       |
            | is of bytes that are no record |
            | is of a newer format          |
            | holds impossible values       |
            | is never read                 |

    Scenario: A failed write is repeated, and writes nothing while nothing changes
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And 3 seconds pass
        Then the snapshot of run times stays as it is for 10 seconds
        When the store refuses to write the snapshot of run times
        And tasks that take 8, 4, 4, 4 seconds run on w0 to w3 as independent tasks
        And tasks that take 8, 4, 4, 4 seconds run on w0 to w3 as independent tasks
        And the store writes the snapshot of run times again
        And 3 seconds pass
        And the owner dies
        And a new owner takes over
        Then the new owner has the relative run times of the first one

    Scenario: The snapshot is bounded, and fits a fleet of 380 workers
        Then a snapshot of 380 machines and 256 kinds of short names has at most 64 KB
        And a snapshot of 2000 machines and 256 kinds of long names has at most 64 KB
