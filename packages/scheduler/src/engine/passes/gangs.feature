Feature: All members of a gang run together or none does

    Scenario: A gang waits until all of its members fit
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "1 x 8"
        And bob submits the normal job G of "2 x 8 gang"
        Then 0 tasks of G run
        When task 0.0.0 of J ends as done
        Then 2 tasks of G run

    Scenario: A gang that requires one rack is placed in one rack
        Given a fleet of 8 workers with an owner
        When bob submits the normal job J of "3 x 8"
        And bob submits the normal job G of "4 x 8 gang one-rack"
        Then the tasks of G run in one rack

    Scenario: A gang is done when one of its members is done
        Given a fleet of 2 workers with an owner
        When ana submits the normal job G of "2 x 8 gang"
        And task 0.0.1 of G ends as done
        And 1 seconds pass
        Then the job G is completed

    Scenario Outline: The members of a gang that ends are not stopped
        Given a fleet of 4 workers with an owner
        When ana submits the normal job G of "4 x 8 gang"
        And the tasks 0.0.0, 0.0.1, 0.0.2, 0.0.3 of G end as <ends>
        And 0.4 seconds pass
        Then no run has been stopped

        Examples:
            | ends                           |
            | done, done, done, done         |
            | failed, broken, broken, broken |

    Scenario: A member that goes on although another one has failed is stopped
        Given a fleet of 2 workers with an owner
        When ana submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of G ends as failed
        And 1 second passes
        Then 2 tasks of G run
        And task 0.0.1 of G has run number 2

    Scenario: A gang restarts as a whole under one run number after a member's run has lapsed
        Given a fleet of 3 workers with an owner
        When ana submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of G ends as lapsed
        And 2 seconds pass
        Then 2 tasks of G run
        And task 0.0.0 of G has run number 2
        And task 0.0.1 of G has run number 2

    Scenario: The failure of a gang's member counts as one failure of the gang
        Given a fleet of 4 workers with an owner
        When ana submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of G ends as failed
        And 2 seconds pass
        Then the job G is running

    Scenario: A gang starts again as a whole after the start of a member is refused
        Given a fleet of 2 workers with an owner
        When the next orders to w1 hit the faults "refused"
        And ana submits the normal job G of "2 x 8 gang"
        And 3 seconds pass
        Then 2 tasks of G run
        And each task of G runs at most once

    Scenario: A gang returns to a worker on which it failed if it fits nowhere else
        Given a fleet of 2 workers with an owner
        When ana submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of G ends as failed
        And 3 seconds pass
        Then 2 tasks of G run
        And task 0.0.0 of G has run number 2

    Scenario: A gang waits for a paused worker if the only suitable rack includes it
        Given a fleet of 5 workers with an owner
        When ana submits the normal job G of "4 x 8 gang one-rack"
        And task 0.0.0 of G ends as failed
        And 3 seconds pass
        Then 4 tasks of G run
        And the tasks of G run in one rack

    Scenario: A job hangs after two takeovers because a member's end, which stands for its gang, is not stored for all
        Given a fleet of 3 workers with an owner
        When ana submits the normal job J of "2 x 8 gang;1 x 1 after 0"
        And the worker of task 0.0.1 of J is disconnected
        And task 0.0.1 of J ends as done
        And the owner dies
        And task 0.0.0 of J ends as done
        And a new owner takes over
        And the disconnected worker is reachable again
        Then 1 task of J runs
        When the owner dies
        And a new owner takes over
        And task 0.1.0 of J ends as done
        And 1 second passes
        Then the job J is completed
        And task 0.0.0 of J was started 1 time
        And task 0.0.1 of J was started 1 time

    Scenario: A gang has an attempt too many because a member's failure is not stored for all
        Given a fleet of 3 workers with an owner
        When ana submits the normal job J of "2 x 8 gang"
        And the worker of task 0.0.1 of J is disconnected
        And the owner dies
        And task 0.0.0 of J ends as failed
        And task 0.0.1 of J ends as broken
        And a new owner takes over
        And 1 second passes
        And the owner dies
        And a new owner takes over
        And the disconnected worker is reachable again
        And 3 seconds pass
        Then 2 tasks of J run
        When task 0.0.1 of J ends as failed
        And 1 second passes
        Then the job J is failed
