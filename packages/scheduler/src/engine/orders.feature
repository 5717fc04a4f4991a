Feature: Orders whose answers are lost

    Scenario: A start whose answer is lost is sent again and runs once
        Given a fleet of 1 workers with an owner
        When the next orders at w0 meet "lost-answer"
        And ana submits the normal job J of "1 x 2"
        Then 1 task of J runs
        And task 0.0.0 of J was started 1 time

    Scenario: A start that stays unclear is outlawed before the task runs elsewhere
        Given a fleet of 2 workers with an owner
        When the next orders at w0 meet "late late"
        And the next orders at w1 meet "late late"
        And ana submits the normal job J of "1 x 2"
        And 4 seconds pass
        And the late orders at w0 are carried out
        And the late orders at w1 are carried out
        And 3 seconds pass
        Then 1 task of J runs

    Scenario: A worker that refuses is passed over for a while
        Given a fleet of 2 workers with an owner
        When the next orders at w0 meet "refused refused refused"
        And ana submits the normal job J of "2 x 8"
        And 2 seconds pass
        Then 2 tasks of J run

    Scenario: A silent worker's tasks run elsewhere after its lease has ended, and not before
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is cut off
        And 6 seconds pass
        Then task 0.0.0 of J was started 1 time
        When 3 seconds pass
        Then task 0.0.0 of J was started 2 times
        When the cut worker is reached again
        Then 1 task of J runs

    Scenario: A worker that drains gets no new work
        Given a fleet of 2 workers with an owner
        When the worker w0 drains
        And ana submits the normal job J of "4 x 2"
        Then 4 tasks of J run
        And no task runs on w0
