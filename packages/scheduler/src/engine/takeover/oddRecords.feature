Feature: An odd record in the store is ignored and counted, and the sound ones are scheduled

    Background:
        Given a fleet of 2 workers with an owner
        And ana submits the normal job J of "1 x 2"

    Scenario Outline: A stored job <oddity> is passed over by the owner that watches it and by the next one
        When another client stores a job <oddity>
        And ana submits the normal job K of "1 x 2"
        Then 1 task of K runs
        And 1 record Job is ignored
        When the owner dies
        And a new owner takes over
        And ana submits the normal job L of "1 x 2"
        And 1 second passes
        Then 1 task of J runs
        And 1 task of L runs
        And 1 record Job is ignored
        And the owner knows 3 jobs
        And the owner has not resigned

        Examples:
            | oddity                                  |
            | of bytes that are no record             |
            | that is empty                           |
            | under the id of another job             |
            | under a key that is no id               |
            | without steps                           |
            | with 4294967295 tasks                   |
            | with 4294967295 occurrences at once     |
            | with a step that waits for itself       |
            | that needs Infinity accelerators        |
            | that needs NaN accelerators             |
            | that needs -1 accelerators              |
            | that was accepted at NaN                |

    Scenario: An owner whose watch of jobs is refused as invalid lists them
        When the store refuses watches except from the revision of a list
        And ana submits the normal job K of "1 x 2"
        And ana submits the normal job L of "1 x 2"
        And 1 second passes
        Then 1 task of K runs
        And 1 task of L runs

    Scenario: A stored job at the edge of what can be submitted is scheduled
        When another client stores a job with 20000 tasks
        And 1 second passes
        Then the owner knows 2 jobs

    Scenario Outline: Stored progress <oddity> counts as none, and is replaced
        When task 0.0.0 of J ends as failed
        And the owner dies
        And another client stores progress of J <oddity>
        And a new owner takes over
        And ana submits the normal job K of "1 x 2"
        And 10 seconds pass
        Then 1 task of J runs
        And 1 task of K runs
        And 1 record Progress is ignored
        And the owner has not resigned
        When task 0.0.0 of J ends as failed
        And 1 second passes
        And the owner dies
        And a new owner takes over
        Then 0 records are ignored

        Examples:
            | oddity                              |
            | of bytes that are no record         |
            | with the state 99                   |
            | with the run 4294967295             |
            | with 4294967295 failures            |
            | of the occurrence 4294967295        |
            | that ended at NaN                   |

    Scenario: Tasks of an unreadable roster may still run, and start again only once their leases have ended
        When ana submits the normal job K of "1 x 4"
        And the worker of task 0.0.0 of K is not listed
        And the owner dies
        And another client stores an unreadable roster
        And a new owner takes over that cannot reach the worker of task 0.0.0 of K
        And ana submits the normal job L of "1 x 2"
        And 2 seconds pass
        Then 1 task of L runs
        And task 0.0.0 of K was started 1 time
        And 1 record RosterRecord is ignored
        When 12 seconds pass while all runs make progress
        Then each task of K runs at most once
        And 1 task of K runs
        And the owner has not resigned
        When the owner dies
        And a new owner takes over
        Then 0 records are ignored

    Scenario: A stored roster with odd entries delays inherited tasks once, by no more than the leases
        When ana submits the normal job K of "3 x 8"
        And the owner dies
        And another client adds odd entries to the stored roster
        And a new owner takes over
        And task 0.0.0 of J ends as done
        And ana submits the normal job L of "1 x 0"
        Then 1 task of L runs
        When 11 seconds pass while all runs make progress
        Then 2 tasks of K run
        And the owner has not resigned
        When the owner dies
        And a new owner takes over
        And task 0.0.0 of K ends as done
        And 1 second passes
        Then 2 tasks of K run
