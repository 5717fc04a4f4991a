Feature: The capacity of a worker may change while runs are ordered and running

    Scenario: A start that waits for its turn is not sent to a worker whose capacity has shrunk
        Given a fleet of 1 workers with an owner
        When the next orders to w0 hit the faults "unanswered unanswered unanswered unanswered"
        And alice submits the normal job train of "8 x 1"
        And the capacity of w0 changes to 4 accelerators
        And 5 seconds pass while all runs make progress
        Then no start has brought a worker over its capacity
        When 5 seconds pass while all runs make progress
        Then no start has brought a worker over its capacity
        And 4 tasks of train run

    Scenario: The start of a gang is given up in full once the capacity of one of its workers has shrunk
        Given a fleet of 2 workers with an owner
        When the next orders to w0 hit the faults "unanswered unanswered unanswered unanswered"
        And alice submits the normal job train of "12 x 1 gang"
        And the capacity of w0 changes to 2 accelerators
        And 5 seconds pass
        Then no start has brought a worker over its capacity
        And 0 tasks of train run
        When the capacity of w0 changes to 8 accelerators
        And 12 seconds pass while all runs make progress
        Then no start has brought a worker over its capacity
        And 12 tasks of train run

    Scenario: Nothing more is started on a worker whose runs need more than it has
        Given a fleet of 1 workers with an owner
        When alice submits the normal job train of "4 x 2"
        And the capacity of w0 changes to 6 accelerators
        And 1 second passes
        Then 4 tasks of train run
        When task 0.0.0 of train ends as done
        And alice submits the normal job large of "1 x 2"
        And alice submits the normal job small of "1 x 0"
        And alice submits the normal job filler of "1 x 0 fills"
        And 1 second passes
        Then 0 tasks of large run
        And 1 task of small runs
        And no start has brought a worker over its capacity
        When task 0.0.1 of train ends as done
        And 1 second passes
        Then 1 task of large runs
        And no start has brought a worker over its capacity

    Scenario: A run that is being stopped counts until its end is reported
        Given a fleet of 1 workers with an owner
        And the workers take 2 seconds to stop a run
        When alice submits the normal job train of "4 x 2"
        And the capacity of w0 changes to 4 accelerators
        And 1 second passes
        And train is cancelled by its caller
        And alice submits the normal job next of "2 x 2"
        And 1 second passes
        Then 0 tasks of next run
        When 3 seconds pass
        Then 2 tasks of next run
        And no start has brought a worker over its capacity

    Scenario: A new owner counts the runs that it finds on a worker whose capacity has shrunk
        Given a fleet of 1 workers with an owner
        When alice submits the normal job train of "4 x 2"
        And the capacity of w0 changes to 4 accelerators
        And the owner dies
        And a new owner takes over
        And alice submits the normal job next of "1 x 2"
        And 2 seconds pass
        Then 4 tasks of train run
        And 0 tasks of next run
        When the capacity of w0 changes to 10 accelerators
        And 1 second passes
        Then 1 task of next runs
        And no start has brought a worker over its capacity

    Scenario: A job that fits no worker any more does not keep others waiting
        Given a fleet of 2 workers with an owner
        When alice submits the normal job first of "2 x 8"
        And alice submits the normal job large of "1 x 8"
        And the capacity of w0 changes to 4 accelerators
        And the capacity of w1 changes to 4 accelerators
        And 1 second passes
        And task 0.0.0 of first ends as done
        And task 0.0.1 of first ends as done
        And 30 seconds pass
        And alice submits the normal job small of "4 x 2"
        And 2 seconds pass
        Then 0 tasks of large run
        And 4 tasks of small run
        And no start has brought a worker over its capacity

    Scenario: A worker that refused a start for lack of room gets one within a second of having room again
        Given a fleet of 1 workers with an owner
        When w0 guards its capacity
        And w0 has 4 accelerators but is listed with 8
        And alice submits the normal job train of "1 x 8"
        And 4 seconds pass
        Then 0 tasks of train run
        When the capacity of w0 changes to 8 accelerators
        And 1 second passes
        Then 1 task of train runs

    Scenario: A worker that was listed too late with less room gets a start within a second of having it again
        Given a fleet of 1 workers with an owner
        When w0 guards its capacity
        And w0 has 4 accelerators but is listed with 8
        And alice submits the normal job train of "1 x 8"
        And 4 seconds pass
        And the capacity of w0 changes to 4 accelerators
        And 2 seconds pass
        Then 0 tasks of train run
        When the capacity of w0 changes to 8 accelerators
        And 1 second passes
        Then 1 task of train runs
