Feature: An owner orders no more than it can read the answers of

    Scenario: The number of orders in flight follows the latency of the answers
        Then the windows after series of answers match their snapshot

    Scenario: An owner whose processor is too slow orders less, and catches up once it is fast again
        Given a fleet of 40 workers with an owner
        And an order takes 25 ms of the owner's processor
        When ana submits the normal job J of "200 x 1"
        And 2 seconds pass while all runs make progress
        Then no run has been stopped
        When an order takes 0 ms of the owner's processor
        And 3 seconds pass while all runs make progress
        Then 200 tasks of J run
        And each task of J was started 1 time
        And no run has been stopped

    Scenario: A gang with more members than orders may be in flight is ordered whole
        Given a fleet of 40 workers with an owner
        And an order takes 25 ms of the owner's processor
        When ana submits the normal job J of "30 x 1"
        And ana submits the normal job G of "60 x 1 gang"
        And 4 seconds pass while all runs make progress
        Then 60 tasks of G run
        And each task of G was started 1 time
        And no run has been stopped

    Scenario: A run that is stopped before its start was sent needs no order
        Given a fleet of 40 workers with an owner
        And an order takes 50 ms of the owner's processor
        When ana submits the normal job J of "100 x 1"
        And J is cancelled by its caller
        And an order takes 0 ms of the owner's processor
        And 2 seconds pass
        Then fewer than 20 runs of J were started
        And 0 tasks of J run
        When ana submits the normal job K of "320 x 1"
        And 3 seconds pass
        Then 320 tasks of K run

    Scenario: A few silent workers do not keep the others from being ordered
        Given a fleet of 40 workers with an owner
        When the next orders to w0 hit the faults "unanswered unanswered unanswered unanswered unanswered unanswered unanswered unanswered"
        And ana submits the normal job J of "200 x 1"
        And 2 seconds pass while all runs make progress
        Then at least 192 tasks of J run

    Scenario: Stops that many workers do not answer do not keep starts from the others
        Given a fleet of 60 workers with an owner
        When ana submits the normal job J of "40 x 8"
        And the workers of J are no longer reached by the owner
        And J is cancelled by its caller
        And 1 second passes
        And bob submits the normal job K of "20 x 8"
        And 1 second passes
        Then 20 tasks of K run

    Scenario: Stops that are repeated do not keep starts from other workers although holds are answered
        Given a fleet of 120 workers with an owner
        When ana submits the normal job J of "100 x 8"
        And the next 50 stops of J are not answered
        And J is cancelled by its caller
        And bob submits the normal job K of "20 x 8"
        And 3 seconds pass
        Then 20 tasks of K run

    Scenario: Starts that wait for a silent worker do not keep a large gang and other jobs waiting
        Given a fleet of 24 workers with an owner
        When the next 30 orders to w0 are not answered
        And ana submits the normal job J of "12 x 0"
        And ana submits the normal job G of "20 x 8 gang"
        And bob submits the bulk job S of "1 x 2"
        And 3 seconds pass
        Then at least 19 tasks of G run
        And 1 task of S runs

    Scenario: Stops of many runs on workers that do not answer do not keep starts from the others
        Given a fleet of 60 workers with an owner
        When ana submits the normal job L of "20 x 8"
        And ana submits the normal job J of "500 x 0"
        And 3 seconds pass
        Then 500 tasks of J run
        When the workers of J are no longer reached by the owner
        And J is cancelled by its caller
        And L is cancelled by its caller
        And 0.3 seconds pass
        And bob submits the normal job K of "20 x 8"
        And 1 second passes
        Then 20 tasks of K run

    Scenario: Stops of many runs on each of many silent workers do not keep starts from the others
        Given a fleet of 60 workers with an owner
        When ana submits the normal job J of "320 x 1"
        And 2 seconds pass while all runs make progress
        Then 320 tasks of J run
        When the workers of J are no longer reached by the owner
        And J is cancelled by its caller
        And bob submits the normal job K of "20 x 8"
        And 1 second passes
        Then 20 tasks of K run
