Feature: A new owner goes on where the last one was

    Background:
        Given a fleet of 4 workers with an owner

    Scenario: Runs are adopted, not started again
        When ana submits the normal job J of "3 x 2"
        And the owner dies
        And a new owner takes over
        Then 3 tasks of J run
        And task 0.0.0 of J was started 1 time

    Scenario: An end that the dead owner did not store is taken from the worker
        When ana submits the normal job J of "1 x 2"
        And the owner dies
        And task 0.0.0 of J ends as done
        And a new owner takes over
        Then the job J is completed
        And task 0.0.0 of J was started 1 time

    Scenario: A stored failure that the worker still lists is counted once
        When ana submits the normal job J of "1 x 2"
        And the next store writes meet "lost-answer"
        And task 0.0.0 of J ends as failed, and the owner dies once that is stored
        Then the workers have forgotten 0 ends
        When a new owner takes over
        Then the job J is running
        And 1 task of J runs
        And task 0.0.0 of J has run 2

    Scenario: A task that may run on a silent worker waits until its lease has ended
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is cut off
        And the owner dies
        And a new owner takes over
        Then each task of J runs at most once
        And task 0.0.0 of J was started 1 time
        When 6 seconds pass
        Then each task of J runs at most once

    Scenario: A task on a worker that the list has lost is known from the roster
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is cut off
        And the owner dies
        And the cut worker is not listed
        And a new owner takes over
        Then task 0.0.0 of J was started 1 time

    Scenario: A job that is accepted after the takeover does not wait for a silent worker
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is cut off
        And the owner dies
        And a new owner takes over
        And ana submits the normal job K of "1 x 2"
        Then 1 task of K runs

    Scenario: An owner that was replaced learns it from the workers
        When ana submits the normal job J of "1 x 2"
        And a new owner takes over
        And 3 seconds pass
        Then the first owner has resigned
        And 1 task of J runs

    Scenario: Run numbers of a new owner are above those of the last
        When ana submits the normal job J of "1 x 2"
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of J ends as failed
        Then task 0.0.0 of J has run 1001

    Scenario: A worker that was empty when it left does not hold up the next owner
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And the worker w0 drains and leaves in 2 seconds
        And ana submits the normal job K of "4 x 8"
        And the worker w0 has left
        And 1 second passes
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of K ends as done
        Then 3 tasks of K run
