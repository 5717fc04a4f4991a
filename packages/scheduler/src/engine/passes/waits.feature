Feature: No step waits for long while there is ample room for it

    Scenario: A gang that is late runs across racks when the free workers are in different racks
        Given a fleet of 16 workers with an owner
        When bob submits the bulk job B of "16 x 1 spread"
        And task 0.0.0 of B ends as done
        And task 0.0.4 of B ends as done
        And task 0.0.8 of B ends as done
        And task 0.0.12 of B ends as done
        And ana submits the hasty job G of "2 x 8 gang one-rack"
        And 1 seconds pass while all runs make progress
        Then 0 tasks of G run
        When 2 seconds pass while all runs make progress
        Then 2 tasks of G run

    Scenario: A gang that is on time waits a little longer for one rack, and then runs across racks
        Given a fleet of 16 workers with an owner
        When bob submits the bulk job B of "16 x 1 spread"
        And task 0.0.0 of B ends as done
        And task 0.0.4 of B ends as done
        And task 0.0.8 of B ends as done
        And task 0.0.12 of B ends as done
        And ana submits the normal job G of "2 x 8 gang one-rack"
        And 2.2 seconds pass
        Then 0 tasks of G run
        When 0.6 seconds pass
        Then 2 tasks of G run

    Scenario: A second step does not wait for one rack longer than the first one would
        Given a fleet of 16 workers with an owner
        When bob submits the bulk job B of "16 x 1 spread"
        And task 0.0.0 of B ends as done
        And task 0.0.4 of B ends as done
        And task 0.0.8 of B ends as done
        And task 0.0.12 of B ends as done
        And ana submits the hasty job G of "1 x 1;2 x 8 gang one-rack after 0"
        And task 0.0.0 of G ends as done
        And 1 seconds pass while all runs make progress
        Then 0 tasks of G run
        When 2 seconds pass while all runs make progress
        Then 2 tasks of G run

    Scenario: A gang that fits only once into the free workers waits for one rack
        Given a fleet of 8 workers with an owner
        When bob submits the normal job J of "6 x 8"
        And ana submits the hasty job G of "4 x 8 gang one-rack"
        And 4 seconds pass while all runs make progress
        And task 0.0.0 of J ends as done
        And task 0.0.1 of J ends as done
        And task 0.0.4 of J ends as done
        And 3 seconds pass while all runs make progress
        Then 0 tasks of G run
        When task 0.0.5 of J ends as done
        Then 4 tasks of G run
        And the tasks of G run in one rack

    Scenario: A task starts on a paused worker when no other has room for it
        Given a fleet of 1 workers with an owner
        When the next orders to w0 hit the faults "refused refused refused refused refused"
        And ana submits the normal job J of "1 x 1"
        And 4 seconds pass
        And J is cancelled by its caller
        And bob submits the normal job K of "1 x 1"
        And 2.3 seconds pass
        Then 1 task of K runs

    Scenario: A gang starts on paused workers when the others have no room for it
        Given a fleet of 4 workers with an owner
        When the next orders to w1 hit the faults "refused refused refused refused refused"
        And the next orders to w2 hit the faults "refused refused refused refused refused"
        And the next orders to w3 hit the faults "refused refused refused refused refused"
        And ana submits the normal job J of "4 x 1 spread"
        And 4 seconds pass
        And J is cancelled by its caller
        And bob submits the normal job K of "2 x 8 gang one-rack"
        And 2.3 seconds pass
        Then 2 tasks of K run

    Scenario: A task of a lasting step starts on a paused worker while others of its step run
        Given a fleet of 2 workers with an owner
        When the next orders to w1 hit the faults "refused refused refused refused refused"
        And ana submits the normal job J of "2 x 1 lasting spread"
        And 7 seconds pass while all runs make progress
        Then 2 tasks of J run

    Scenario: Workers are not kept from a step for long by one that does not fit yet
        Given a fleet of 12 workers with an owner
        When bob submits the bulk job B of "12 x 1 spread"
        And bob submits the bulk job C of "12 x 1 spread"
        And task 0.0.0 of C ends as done
        And task 0.0.1 of C ends as done
        And ana submits the hasty job G of "2 x 8 gang one-rack"
        And 11 seconds pass while all runs make progress
        And bob submits the bulk job S of "1 x 7"
        And 1 seconds pass while all runs make progress
        Then 0 tasks of S run
        When 2 seconds pass while all runs make progress
        Then 1 task of S runs
