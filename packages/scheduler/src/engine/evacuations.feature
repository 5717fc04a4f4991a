# Guards against starts in a data centre that operators have evacuated.
Feature: No work is sent to evacuated data centres

    Background:
        Given a fleet of 8 workers in each of the data centres "north, south" with an owner

    Scenario: Tasks and gangs are placed elsewhere, and the data centre is used again at once
        When the operator evacuates north
        And ana submits the normal job J of "8 x 4"
        And ana submits the normal job G of "4 x 8 gang one-rack"
        Then 8 tasks of J run
        And 4 tasks of G run
        And nothing has been started in north
        And the owner counts 8 workers that get no work
        When bob submits the bulk job B of "8 x 8"
        And 3 seconds pass while all runs make progress
        Then 0 tasks of B run
        When the evacuation of north ends
        Then 8 tasks of B run
        And the owner counts 0 workers that get no work

    Scenario: A gang does not wait for a rack in an evacuated data centre
        # Of the racks in the south, none has four listed workers.
        When the worker w8 is not listed
        And the worker w12 is not listed
        And the operator evacuates north
        And ana submits the normal job G of "4 x 8 gang one-rack"
        And 1 second passes
        Then 4 tasks of G run
        And nothing has been started in north

    Scenario: A straggler is not copied to an evacuated data centre
        When ana submits the normal job J of "1 x 2 copies"
        And the operator evacuates the data centre without task 0.0.0 of J
        And bob submits the normal job B of "7 x 8"
        And 3 seconds pass
        And task 0.0.0 of J is 10 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 20 percent done
        And 2 seconds pass
        Then task 0.0.0 of J was started 1 time
        When the evacuation of that data centre ends
        And 2 seconds pass
        Then task 0.0.0 of J was started 2 times

    Scenario: Runs go on in the data centre, and nothing is stopped for a step that does not fit elsewhere
        When bob submits the normal job B of "16 x 8"
        And the operator evacuates north
        And ana submits the urgent job U of "2 x 8"
        And 2 seconds pass while all runs make progress
        Then 2 tasks of U run
        And 8 tasks run in north
        When task 0.0.0 of B ends as done
        Then nothing else is started in north for 3 seconds

    Scenario: Work waits while all data centres are evacuated
        When the operator evacuates north
        And the operator evacuates south
        And ana submits the urgent job J of "4 x 2 gang"
        And 3 seconds pass
        Then 0 tasks of J run
        When the evacuation of south ends
        Then 4 tasks of J run
        And nothing has been started in north

    Scenario: A gang whose starts are placed but not sent is withdrawn
        Given an order takes 50 ms of the owner's processor
        When ana submits the normal job G of "100 x 1 gang"
        And the operator evacuates north
        Then nothing else is started in north for 1 second
        When an order takes 0 ms of the owner's processor
        Then nothing else is started in north for 3 seconds
        And 0 tasks run in north
        When the evacuation of north ends
        And 2 seconds pass while all runs make progress
        Then 100 tasks of G run

    Scenario: A start without an answer is stopped rather than sent again, with its gang
        When the next order to each worker in north is not answered
        And ana submits the normal job G of "8 x 8 gang"
        And the operator evacuates north
        And 2 seconds pass while all runs make progress
        Then nothing has been started in north
        And 8 tasks of G run

    Scenario: The owner is killed right after the evacuation is stored
        When the operator evacuates north, and the owner dies before it learns of that
        And ana submits the normal job J of "16 x 4"
        And a new owner takes over
        And 1 second passes
        Then 16 tasks of J run
        And nothing has been started in north

    Scenario: A new owner that cannot read the evacuations does not begin
        When the owner dies
        And a new owner takes over that cannot read the evacuations
        And ana submits the normal job J of "1 x 1"
        And 3 seconds pass
        Then 0 tasks of J run
        When the evacuations can be read again
        And 1 second passes
        Then 1 task of J runs
