Feature: Orders to workers survive lost answers, refusals and unresponsive workers

    Scenario: A start whose answer is lost is sent again and runs once
        Given a fleet of 1 workers with an owner
        When the next orders to w0 hit the faults "lost-answer"
        And ana submits the normal job J of "1 x 2"
        Then 1 task of J runs
        And task 0.0.0 of J was started 1 time

    Scenario: An unanswered start is sent again after the owner's term has ended
        Given a fleet of 1 workers with an owner
        When the next orders to w0 hit the faults "unanswered"
        And ana submits the normal job J of "1 x 2"
        And the owner dies
        And 1 second passes
        Then task 0.0.0 of J was started 0 times

    Scenario: A start with an unclear outcome is invalidated before the task runs elsewhere
        Given a fleet of 2 workers with an owner
        When the next orders to w0 hit the faults "late late"
        And the next orders to w1 hit the faults "late late"
        And ana submits the normal job J of "1 x 2"
        And 4 seconds pass
        And the late orders to w0 are carried out
        And the late orders to w1 are carried out
        And 3 seconds pass
        Then 1 task of J runs

    Scenario: A worker that refuses starts is paused
        Given a fleet of 2 workers with an owner
        When the next orders to w0 hit the faults "refused refused refused"
        And ana submits the normal job J of "2 x 8"
        And 2 seconds pass
        Then 2 tasks of J run

    Scenario: Tasks of an unresponsive worker run elsewhere only after its lease has ended
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And 6 seconds pass
        Then task 0.0.0 of J was started 1 time
        When 3 seconds pass
        Then task 0.0.0 of J was started 2 times
        When the disconnected worker is reachable again
        Then 1 task of J runs

    Scenario: No runs start on a draining worker
        Given a fleet of 2 workers with an owner
        When the worker w0 drains
        And ana submits the normal job J of "4 x 2"
        Then 4 tasks of J run
        And no task runs on w0

    Scenario: A job that causes an unexpected error does not keep others from running
        Given a fleet of 2 workers with an owner
        And the estimate of run times in the queue bulk fails unexpectedly
        When ana submits the bulk job J of "1 x 2"
        And bob submits the normal job K of "1 x 2"
        Then 1 task of K runs

    Scenario: Tasks do not wait for a worker that has fallen silent before their starts were sent
        Given a fleet of 1 workers with an owner
        When the answers to the next 1000 holds of w0 are lost
        And the next orders to w0 hit the faults "unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered"
        And ana submits the normal job J of "12 x 0"
        And 1 worker joins the fleet
        And 1 second passes
        Then at least 10 tasks of J run
        And no task has had two runs at the same time

    Scenario: A start that is not answered does not extend the lease of a worker that has fallen silent
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 1"
        And the answers to the next 1000 holds of w0 are lost
        And the next orders to w0 hit the faults "unanswered unanswered unanswered unanswered"
        And ana submits the normal job K of "2 x 1"
        And 0.2 seconds pass
        Then the lease of w0 is not extended while 3 seconds pass
