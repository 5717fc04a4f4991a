Feature: Run ends are stored before workers discard them

    Background:
        Given a fleet of 2 workers with an owner

    Scenario: A job is reported as completed only after its end is stored
        When ana submits the normal job J of "1 x 2"
        And the store goes down
        And task 0.0.0 of J ends as done
        And 1 seconds pass
        Then the job J is running
        And the workers have discarded 0 run ends
        When the store is up again
        And 1 seconds pass
        Then the job J is completed
        And the workers have discarded 1 run end

    Scenario: Progress is still stored after the answer to a write was lost
        When ana submits the normal job J of "2 x 2"
        And the next store writes hit the faults "lost-answer"
        And task 0.0.0 of J ends as done
        And 1 seconds pass
        And task 0.0.1 of J ends as done
        And 1 seconds pass
        Then the job J is completed

    Scenario: A write that is carried out late does not undo newer progress
        When ana submits the normal job J of "2 x 2"
        And the next store writes hit the faults "late"
        And task 0.0.0 of J ends as done
        And task 0.0.1 of J ends as done
        And 1 seconds pass
        And the late store writes are carried out
        And the owner dies
        And a new owner takes over
        Then the job J is completed

    Scenario: A later step begins only after all tasks of the earlier one are done
        When ana submits the normal job J of "2 x 1;3 x 1 after 0"
        And task 0.0.0 of J ends as done
        Then 1 task of J runs
        When task 0.0.1 of J ends as done
        Then 3 tasks of J run

    Scenario: A job fails when a task has failed as often as its queue allows
        When ana submits the normal job J of "2 x 1"
        And task 0.0.0 of J ends as failed
        Then the job J is running
        When task 0.0.0 of J ends as failed
        And 1 seconds pass
        Then the job J is failed
        And 0 tasks of J run

    Scenario: A cancellation stops a running job and leaves an ended one unchanged
        When ana submits the normal job J of "2 x 1"
        And J is cancelled by its caller
        And 1 seconds pass
        Then the job J is cancelled
        And 0 tasks of J run
        When ana submits the normal job K of "1 x 1"
        And task 0.0.0 of K ends as done
        And 1 seconds pass
        And K is cancelled by its caller
        Then the job K is completed

    Scenario: Jobs stored while the watch delivers nothing are found after the history is compacted
        When the watches stop delivering changes
        And ana submits the normal job J of "1 x 1"
        Then 0 tasks of J run
        When the store's history is compacted
        Then 1 task of J runs

    Scenario: A task runs again because its end is beyond those that its worker lists
        When workers list at most 1 run end
        And ana submits the normal job J of "6 x 1"
        And all tasks of J end as done at once
        And 1 second passes
        Then task 0.0.5 of J was started 1 time
        And the job J is completed

    Scenario: Failures that a new owner hears of in reverse order are not both counted
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the store goes down
        And task 0.0.0 of J ends as failed
        And 1 second passes
        And task 0.0.0 of J ends as failed
        And the owner dies
        And the store is up again
        And the answers to the next 2 holds of w0 are lost
        And a new owner takes over
        And 2 seconds pass
        Then the job J is failed
        And task 0.0.0 of J was started 2 times
