Feature: Nothing is placed beside a suspected task while it runs

    Scenario: A worker takes several tasks again once the suspected one has ended
        Given a fleet of 1 workers with an owner
        When alice submits the normal job train of "1 x 1"
        And 4 seconds pass while all runs make progress
        And the workers w0 crash
        And 5 seconds pass while all runs make progress
        And alice submits the normal job first of "1 x 1"
        And 1 second passes
        Then 1 task of train runs
        And 0 tasks of first run
        When task 0.0.0 of train ends as done
        And alice submits the normal job second of "1 x 1"
        And 1 second passes
        Then 1 task of first runs
        And 1 task of second runs
