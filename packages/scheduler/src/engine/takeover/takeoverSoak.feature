Feature: Takeovers beside suspended owners, restarted workers and lost orders

    Scenario Outline: Random takeovers give a task two runs at the same time, or none
        When takeovers with <faults> are played for the seeds "<seeds>"
        Then no seed gave a task two runs at the same time
        And no seed left a job without runs

        Examples:
            | faults            | seeds      |
            | suspended-owners  | 1-8 65 270 |
            | restarted-workers | 1-8        |

    Scenario: A job is shown as failed although no task has failed so often
        When takeovers with failed-runs are played for the seeds "1-8"
        Then no job was shown as failed before a task had failed often enough
        And some jobs were shown as failed

    Scenario: A job is shown as failed since its workers restart at random
        When takeovers with restarted-workers are played for the seeds "1-8"
        Then no job was shown as failed before a task had failed often enough
