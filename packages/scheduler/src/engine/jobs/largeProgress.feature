Feature: The progress of one job does not hold back that of others

    Background:
        Given a fleet of 2 workers with an owner

    Scenario: Checkpoints beyond the size of a value are stored in parts, and the ends of all jobs are acknowledged
        When ana submits the normal job J of "30 x 0 checkpoints"
        And ana submits the normal job K of "1 x 0"
        And the tasks of J save checkpoints of 60000 bytes
        And task 0.0.0 of J ends as done
        And task 0.0.0 of K ends as done
        And 1 second passes
        Then the job K is completed
        And the workers have discarded 2 run ends
        And the progress of J is stored in 3 values
        When the owner dies
        And a new owner takes over that reaches no worker
        Then the owner knows checkpoints of 60000 bytes of 29 tasks of J
        When the owner dies
        And a new owner takes over
        And the tasks of J save checkpoints of 10 bytes
        And task 0.0.1 of J ends as done
        And 1 second passes
        Then the progress of J is stored in 1 value

    Scenario: No part is left once the job has ended
        When ana submits the normal job J of "30 x 0 checkpoints"
        And 1 second passes
        And the tasks of J save checkpoints of 60000 bytes
        And task 0.0.0 of J ends as done
        And 1 second passes
        Then the progress of J is stored in 3 values
        When the owner dies
        And a new owner takes over
        And all tasks of J end as done at once
        And 1 second passes
        Then the job J is completed
        And the progress of J is stored in 1 value

    Scenario: A checkpoint that exceeds a value is not stored, and the rest is
        When ana submits the normal job J of "2 x 0 checkpoints;1 x 0 after 0"
        And the tasks of J save checkpoints of 1000001 bytes
        And task 0.0.0 of J ends as done
        And task 0.0.1 of J ends as done
        And 1 second passes
        Then task 0.1.0 of J was started 1 time
        And the workers have discarded 2 run ends

    Scenario: A job whose progress the store refuses keeps its ends, and only those behind them on their worker
        When ana submits the normal job J of "1 x 8"
        And ana submits the normal job K of "2 x 4;1 x 4 after 0"
        And the store refuses the progress of J as malformed
        And task 0.0.0 of J ends as done
        And the tasks 0.0.0, 0.0.1 of K end as done, done
        And 1 second passes
        And task 0.1.0 of K ends as done
        And 1 second passes
        Then the job J is running
        And the job K is completed
        And the workers have discarded 2 run ends
        When the store accepts writes again
        And 2 seconds pass
        Then the job J is completed
        And the workers have discarded 4 run ends
