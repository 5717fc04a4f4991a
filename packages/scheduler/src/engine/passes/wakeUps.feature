Feature: A waiting step starts within a second once something makes room for it

    Scenario: A worker joins the fleet
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8"
        And ana submits the normal job K of "1 x 8"
        And 5 seconds pass while all runs make progress
        And 1 worker joins the fleet
        And 1 second passes
        Then 1 task of K runs

    Scenario: A worker joins a fleet of which many workers are silent
        Given a fleet of 400 workers with an owner
        When bob submits the normal job B of "400 x 8"
        And 2 seconds pass while all runs make progress
        And the owner cannot reach any worker
        And ana submits the normal job J of "1 x 8"
        And 12 seconds pass
        And 1 worker joins the fleet
        And 1 second passes
        Then 1 task of J runs

    Scenario: A worker answers again after a short silence
        Given a fleet of 2 workers with an owner
        When the owner cannot reach w1
        And ana submits the normal job J of "2 x 8"
        And 3 seconds pass while all runs make progress
        Then 1 task of J runs
        When the owner reaches all workers
        And 0.5 seconds pass
        Then 2 tasks of J run

    Scenario: A worker answers again after a silence for which the roster has left it out
        Given a fleet of 2 workers with an owner
        When the owner cannot reach w1
        And ana submits the normal job J of "2 x 8"
        And 15 seconds pass while all runs make progress
        And the owner reaches all workers
        And 0.5 seconds pass
        Then 2 tasks of J run

    Scenario: The capacity of a worker grows
        Given a fleet of 1 workers with an owner
        When the capacity of w0 changes to 4 accelerators
        And 1 second passes
        And ana submits the normal job J of "1 x 8"
        And 5 seconds pass
        Then 0 tasks of J run
        When the capacity of w0 changes to 8 accelerators
        And 1 second passes
        Then 1 task of J runs

    Scenario: The pause of the only worker ends
        Given a fleet of 1 workers with an owner
        When the next orders to w0 hit the faults "refused refused"
        And ana submits the normal job J of "1 x 8"
        Then 0 tasks of J run
        When 1.1 seconds pass
        Then 1 task of J runs

    Scenario: A drain ends
        Given a fleet of 2 workers with an owner
        When the worker w1 drains
        And ana submits the normal job J of "2 x 8"
        And 5 seconds pass while all runs make progress
        Then 1 task of J runs
        When the worker w1 drains no longer
        And 1 second passes
        Then 2 tasks of J run

    Scenario: The platform refuses the upkeep of a machine, so that the cordon of its worker ends
        Given a fleet of 2 workers with an owner
        When the platform refuses the upkeep of m0
        And the operator orders the upkeep of all machines, 1 at a time
        And 10 seconds pass
        Then the wave of upkeep is completed
        When ana submits the normal job J of "2 x 8"
        And 1 second passes
        Then 2 tasks of J run

    Scenario: A roster is stored whose outcome was unclear
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And the next store writes hit the faults "lost-answer"
        And 1 worker joins the fleet
        And 2 seconds pass while all runs make progress
        Then 2 tasks of J run

    Scenario: The store is up again after a worker has joined
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And the store goes down
        And 1 worker joins the fleet
        And 3 seconds pass while all runs make progress
        Then 1 task of J runs
        When the store is up again
        And 0.5 seconds pass
        Then 2 tasks of J run

    Scenario: A worker becomes free for which the step has no ticket any more
        Given a fleet of 1 workers with an owner
        When ana submits the advised job J of "1 x 8"
        And bob submits the advised job K of "1 x 8"
        And 5 seconds pass while all runs make progress
        And task 0.0.0 of J ends as done
        And 0.8 seconds pass
        Then 1 task of K runs

    Scenario: A job for which workers are kept free is cancelled
        Given a fleet of 2 workers with an owner
        When bob submits the normal job A of "1 x 8"
        And bob submits the normal job B of "1 x 8"
        And 3 seconds pass
        And bob submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of A ends as done
        And bob submits the bulk job S of "1 x 8"
        Then 0 tasks of S run
        When G is cancelled by its caller
        And 0.9 seconds pass
        Then 1 task of S runs

    Scenario: A job that is placed before is cancelled
        Given a fleet of 2 workers with an owner
        When bob submits the normal job A of "2 x 8"
        And bob submits the bulk job S of "2 x 8 gang"
        And 5 seconds pass while all runs make progress
        And A is cancelled by its caller
        And 0.9 seconds pass
        Then 2 tasks of S run

    Scenario: A gang with more members than starts are free is ordered after the starts that wait
        Given a fleet of 60 workers with an owner
        When an order takes 1 ms of the owner's processor
        And bob submits the normal job A of "64 x 0"
        And ana submits the normal job G of "40 x 8 gang"
        And 0.9 seconds pass
        Then 40 tasks of G run

    Scenario: Tasks beyond the starts that are free are ordered after those that wait
        Given a fleet of 60 workers with an owner
        When an order takes 1 ms of the owner's processor
        And bob submits the normal job A of "60 x 8"
        And 0.3 seconds pass
        Then 60 tasks of A run

    Scenario: A configuration has the queue of a job again
        Given a fleet of 1 workers with an owner
        When the configuration has several services
        And the configuration has no queue normal
        And ana submits the normal job J of "1 x 8" through a daemon that stores no term
        And 5 seconds pass
        Then 0 tasks of J run
        When the configuration has all queues again
        And 1 second passes
        Then 1 task of J runs
