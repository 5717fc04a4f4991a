Feature: Workers restart under their ids

    Scenario: A run that a restarted worker has just begun is placed a second time
        Given a fleet of 2 workers with an owner
        When the worker w0 restarts
        And the worker w1 restarts
        And ana submits the normal job J of "1 x 2"
        And 1 second passes
        Then each task of J runs at most once
        And task 0.0.0 of J was started 1 time

    Scenario: A start whose answer a restarted worker loses is placed a second time
        Given a fleet of 2 workers with an owner
        When the worker w0 restarts
        And the worker w1 restarts
        And the next orders to w0 hit the faults "lost-answer"
        And the next orders to w1 hit the faults "lost-answer"
        And ana submits the normal job J of "1 x 2"
        And 1 second passes
        Then each task of J runs at most once
        And task 0.0.0 of J was started 1 time

    Scenario: A restart that the platform lists releases the run of the new incarnation
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And the worker w0 restarts and registers
        And 1 second passes
        Then each task of J runs at most once
        And 2 tasks of J run

    Scenario: A task that ended on a new incarnation is started again
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "3 x 2"
        And the worker w0 is not listed
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of J ends as done
        And task 0.0.1 of J ends as done
        And the worker w0 restarts
        And the worker w0 is listed again
        And 1 second passes
        And task 0.0.2 of J ends as done
        And 1 second passes
        Then the job J is completed
        And no task runs on w0

    Scenario: An end of a new incarnation is discarded by a hold that was meant for an earlier one
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "2 x 2"
        And task 0.0.0 of J ends as done
        And the worker w0 restarts
        And the answer to the next 1 hold of w0 is lost
        And ana submits the normal job K of "1 x 2"
        And task 0.0.0 of K ends as done
        And 1 second passes
        Then the job K is completed
        And task 0.0.0 of K was started 1 time

    Scenario: The ends of a restarted worker are not stored
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "3 x 2"
        And task 0.0.0 of J ends as done
        And the worker w0 restarts and registers
        And task 0.0.1 of J ends as done
        And task 0.0.2 of J ends as done
        Then the job J is completed

    Scenario: A task waits for a worker that has left and is still listed
        Given a fleet of 2 workers with an owner
        When the worker w0 is replaced by w2 at its address, and both are listed
        And ana submits the normal job J of "2 x 8"
        And 2 seconds pass
        Then 2 tasks of J run

    Scenario: A worker loses its connections when its predecessor at the same address is removed
        Given a fleet of 2 workers with an owner
        When the worker w0 is replaced by w2 at its address, and both are listed
        And ana submits the normal job J of "2 x 8"
        And 2 seconds pass
        Then the connections to w2 stay open

    Scenario: A worker that has left and is still listed is asked again and again
        Given a fleet of 2 workers with an owner
        When the worker w0 is replaced by w2 at its address, and both are listed
        And ana submits the normal job J of "2 x 8"
        And 1 second passes
        Then w0 is not added to the fleet again within 5 seconds

    Scenario: A worker that another one has replaced at its address gets no tasks at its new address
        Given a fleet of 2 workers with an owner
        When the worker w0 is replaced by w2 at its address, and both are listed
        And the worker w0 starts again at another address
        And ana submits the normal job J of "3 x 8"
        And 1 second passes
        Then 3 tasks of J run

    Scenario: A task waits for the lease of a silent worker although its successor is listed
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8"
        And 1 worker joins the fleet
        And 2 seconds pass while all runs make progress
        And the owner cannot reach w0
        And the owner cannot reach w2
        And 3 seconds pass
        And the worker w0 is replaced by w2 at its address, and both are listed
        Then task 0.0.0 of J was started 1 time
        And 1 task of J runs

    Scenario: A task is started twice because a silent worker on another machine has a registration at its address
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8"
        And 1 worker joins the fleet
        And 2 seconds pass while all runs make progress
        And the owner cannot reach w0
        And the owner cannot reach w2
        And 3 seconds pass
        And a worker w2 on another machine is listed at the address of w0
        And 1 second passes
        Then task 0.0.0 of J was started 1 time
        And no task has had two runs at the same time

    Scenario: A task of a restarted worker runs again because a hold repeats an acknowledgement
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And 1 second passes
        And the worker w0 restarts
        And ana submits the normal job K of "1 x 2"
        And task 0.0.0 of K ends as done
        And 1 second passes
        Then task 0.0.0 of K was started 1 time
        And the job K is completed

    Scenario: An idle worker that restarts gets tasks as soon as it answers
        Given a fleet of 2 workers with an owner
        When 10 seconds pass
        And the worker w0 restarts and registers
        And ana submits the normal job G of "2 x 8 gang"
        And 0.2 seconds pass
        Then 2 tasks of G run
