Feature: Workers are reserved for gangs that will soon fit on them

    Scenario: A job of lower priority does not take the capacity that a gang waits for
        Given a fleet of 2 workers with an owner
        When bob submits the normal job A of "1 x 8"
        And bob submits the normal job B of "1 x 8"
        And 3 seconds pass
        And bob submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of A ends as done
        And bob submits the bulk job S of "4 x 1"
        Then 0 tasks of S run
        When task 0.0.0 of B ends as done
        Then 2 tasks of G run

    Scenario: Other jobs run on workers that become free too late for a gang
        Given a fleet of 2 workers with an owner
        When bob submits the normal job A of "1 x 8"
        And bob submits the normal job B of "1 x 8 lasting"
        And bob submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of A ends as done
        And bob submits the bulk job S of "4 x 1"
        Then 4 tasks of S run

    Scenario: A gang that is too late does not starve while the free capacity is fragmented
        Given a fleet of 12 workers with an owner
        When bob submits the bulk job B of "12 x 1 spread"
        And ana submits the hasty job G of "4 x 8 gang one-rack"
        And bob submits the bulk job S of "8 x 8"
        And 11 seconds pass while all runs make progress
        And task 0.0.0 of B ends as done
        And task 0.0.1 of B ends as done
        And task 0.0.2 of B ends as done
        Then 0 tasks of S run
        When task 0.0.3 of B ends as done
        Then 4 tasks of G run
        And the tasks of G run in one rack

    Scenario: A gang that is too late does not starve while two thirds of a fleet are in use
        Given a fleet of 12 workers with an owner
        When bob submits the bulk job B of "12 x 6 spread"
        And ana submits the hasty job G of "3 x 4 gang one-rack"
        And bob submits the bulk job S of "8 x 8"
        And 11 seconds pass while all runs make progress
        And task 0.0.0 of B ends as done
        And task 0.0.1 of B ends as done
        Then 0 tasks of S run
        When task 0.0.2 of B ends as done
        Then 3 tasks of G run
        And the tasks of G run in one rack

    Scenario: A gang that is too late and has not waited long reserves no workers
        Given a fleet of 12 workers with an owner
        When bob submits the bulk job B of "12 x 1 spread"
        And ana submits the hasty job G of "4 x 8 gang one-rack"
        And bob submits the bulk job S of "8 x 8"
        And 5 seconds pass while all runs make progress
        And task 0.0.0 of B ends as done
        Then 1 task of S runs

    Scenario: A takeover does not restart the time that a gang has waited
        Given a fleet of 12 workers with an owner
        When bob submits the bulk job B of "12 x 1 spread"
        And ana submits the hasty job G of "4 x 8 gang one-rack"
        And bob submits the bulk job S of "8 x 8"
        And 9 seconds pass while all runs make progress
        And the owner dies
        And a new owner takes over
        And 2 seconds pass while all runs make progress
        And task 0.0.0 of B ends as done
        And task 0.0.1 of B ends as done
        And task 0.0.2 of B ends as done
        Then 0 tasks of S run
        When task 0.0.3 of B ends as done
        Then 4 tasks of G run

    Scenario: Workers are kept free for two starved gangs while passes are rare
        Given a fleet of 20 workers with an owner
        When bob submits the bulk job B of "20 x 1 spread"
        And ana submits the hasty job G of "4 x 8 gang one-rack"
        And ana submits the hasty job H of "4 x 8 gang one-rack"
        And bob submits the bulk job S of "8 x 8"
        And 12 seconds pass while all runs make progress
        And 0.1 seconds pass
        And the tasks 0.0.0, 0.0.1, 0.0.2, 0.0.4, 0.0.5, 0.0.6 of B end as done, done, done, done, done, done
        And 0.2 seconds pass
        Then 0 tasks of S run
        When task 0.0.3 of B ends as done
        And task 0.0.7 of B ends as done
        Then 4 tasks of G run
        And 4 tasks of H run
