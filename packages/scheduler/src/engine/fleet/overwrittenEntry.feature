Feature: A worker whose registration is overwritten keeps its runs, and gets starts again when it is listed again

    Scenario: The registration of a worker with runs is overwritten by one that describes no worker
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "2 x 2"
        And the worker w0 is not listed
        And 1 second passes
        Then 2 tasks of J run
        When the worker w0 is listed again
        And ana submits the normal job K of "2 x 2"
        And 1 second passes
        Then 2 tasks of J run
        And 2 tasks of K run
        And task 0.0.0 of J was started 1 time
