Feature: Placement on workers whose runs need more than they have

    Scenario: A worker without any capacity gets starts again within a second of having some
        Given a fleet of 1 workers with an owner
        When the capacity of w0 changes to 0 accelerators
        And 1 second passes
        And alice submits the normal job train of "2 x 1"
        And 15 seconds pass
        Then 0 tasks of train run
        When the capacity of w0 changes to 8 accelerators
        And 1 second passes
        Then 2 tasks of train run

    Scenario: A gang that fitted nowhere starts within a second of grown capacity
        Given a fleet of 8 workers with an owner
        When the capacity of all workers changes to 4 accelerators
        And 1 second passes
        And alice submits the normal job train of "4 x 8 gang one-rack"
        And 30 seconds pass
        Then 0 tasks of train run
        When the capacity of w4 changes to 8 accelerators
        And the capacity of w5 changes to 8 accelerators
        And the capacity of w6 changes to 8 accelerators
        And the capacity of w7 changes to 8 accelerators
        And 1 second passes
        Then 4 tasks of train run
        And no start has brought a worker over its capacity

    Scenario: A lasting task that fitted nowhere starts within a second of grown capacity
        Given a fleet of 2 workers with an owner
        When alice submits the normal job serve of "2 x 8 lasting"
        And 1 second passes
        And the capacity of w0 changes to 4 accelerators
        And 1 second passes
        And task 0.0.0 of serve ends as failed
        And task 0.0.1 of serve ends as failed
        And 10 seconds pass while all runs make progress
        Then 1 task of serve runs
        When the capacity of w0 changes to 8 accelerators
        And 1 second passes
        Then 2 tasks of serve run
        And no start has brought a worker over its capacity

    Scenario: A gang that requires one rack does not go to a rack that has shrunk
        Given a fleet of 8 workers with an owner
        When alice submits the normal job first of "4 x 2"
        And the capacity of w0 changes to 4 accelerators
        And 1 second passes
        And alice submits the normal job train of "4 x 8 gang one-rack"
        And 1 second passes
        Then 4 tasks of train run
        And the tasks of train run in one rack
        And no start has brought a worker over its capacity

    Scenario: A gang that is ordered in part when a worker shrinks runs in full once the worker has grown
        Given a fleet of 4 workers with an owner
        When the next orders to w0 hit the faults "unanswered unanswered"
        And alice submits the normal job train of "4 x 8 gang one-rack"
        And the capacity of w3 changes to 4 accelerators
        And 20 seconds pass while all runs make progress
        Then no start has brought a worker over its capacity
        When the capacity of w3 changes to 8 accelerators
        And 1 second passes
        Then 4 tasks of train run

    Scenario: A guaranteed job preempts where fewer runs have to be stopped
        Given a fleet of 2 workers with an owner
        When bob submits the bulk job B of "16 x 1"
        And the capacity of w0 changes to 4 accelerators
        And 1 second passes
        And ana submits the urgent job G of "1 x 4"
        And 2 seconds pass
        Then 1 task of G runs
        And 12 tasks of B run
        And no start has brought a worker over its capacity

    Scenario Outline: A guaranteed job preempts elsewhere once a worker that is kept for it has shrunk
        Given a fleet of 2 workers with an owner
        And the workers take 1 seconds to stop a run
        When bob submits the bulk job B of "16 x 1"
        And 1 second passes
        And ana submits the urgent job G of "1 x 8"
        And the capacity of <worker> changes to 4 accelerators
        And 5 seconds pass
        Then 1 task of G runs
        And no start has brought a worker over its capacity

        Examples:
            | worker |
            | w0     |
            | w1     |

    Scenario: A guaranteed job that fits nowhere stops nothing
        Given a fleet of 2 workers with an owner
        When bob submits the bulk job B of "16 x 1"
        And the capacity of all workers changes to 4 accelerators
        And 1 second passes
        And ana submits the urgent job G of "1 x 8"
        And 3 seconds pass while all runs make progress
        Then 0 tasks of G run
        And 16 tasks of B run

    Scenario: A job that has waited for long keeps no worker free that has shrunk below its need
        Given a fleet of 3 workers with an owner
        When alice submits the normal job first of "3 x 5 spread"
        And the capacity of w0 changes to 6 accelerators
        And 1 second passes
        And alice submits the normal job large of "1 x 8"
        And 14 seconds pass while all runs make progress
        And alice submits the normal job small of "1 x 1"
        And 1 second passes
        Then 1 task of small runs
        And 0 tasks of large run
        And no start has brought a worker over its capacity

    Scenario: A suspected task is placed although workers have shrunk
        Given a fleet of 4 workers with an owner
        When alice submits the normal job filler of "4 x 2 lasting spread"
        And bob submits the normal job train of "1 x 6"
        And 2 seconds pass while all runs make progress
        And the workers w0 crash
        And the capacity of w1 changes to 7 accelerators
        And the capacity of w2 changes to 4 accelerators
        And 8 seconds pass while all runs make progress
        Then 1 task of train runs
        And 4 tasks of filler run
        And no start has brought a worker over its capacity

    Scenario: A capacity that shrinks again while orders wait
        Given a fleet of 1 workers with an owner
        When the next 8 orders to w0 are not answered
        And alice submits the normal job train of "8 x 1"
        And the capacity of w0 changes to 5 accelerators
        And 0.6 seconds pass
        And the capacity of w0 changes to 2 accelerators
        And 6 seconds pass while all runs make progress
        Then no start has brought a worker over its capacity
        And 2 tasks of train run

    Scenario: A worker that restarts with another capacity gets no more than that
        Given a fleet of 1 workers with an owner
        When alice submits the normal job train of "8 x 1"
        And the capacity of w0 changes to 2 accelerators
        And the worker w0 restarts and registers
        And 5 seconds pass while all runs make progress
        Then 2 tasks of train run
        And no start has brought a worker over its capacity

    Scenario: A new owner learns of a capacity that has shrunk between owners
        Given a fleet of 1 workers with an owner
        When the owner dies
        And the capacity of w0 changes to 3 accelerators
        And alice submits the normal job train of "8 x 1"
        And a new owner takes over
        And 2 seconds pass
        Then 3 tasks of train run
        And no start has brought a worker over its capacity

    Scenario: A run that is being stopped counts for a new owner
        Given a fleet of 1 workers with an owner
        And the workers take 6 seconds to stop a run
        When alice submits the normal job train of "4 x 2"
        And 1 second passes
        And train is cancelled by its caller
        And 0.5 seconds pass
        And the owner dies
        And a new owner takes over
        And alice submits the normal job next of "2 x 2"
        And 1 second passes
        Then 0 tasks of next run
        When 7 seconds pass
        Then 2 tasks of next run
        And no start has brought a worker over its capacity
