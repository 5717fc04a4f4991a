Feature: Ended jobs are removed, and their ids can be used again

    Background:
        Given a fleet of 4 workers with an owner

    Scenario: All jobs whose retention time has passed are removed
        When ana submits and completes 30 jobs
        And 230 seconds pass
        Then 30 jobs are stored
        When 25 seconds pass
        Then 0 jobs are stored
        And the owner knows 0 jobs

    # LOST: an accepted job was removed by a late write for the job that had its id before.
    Scenario: A removal that is carried out late spares the next job with the id
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And 235 seconds pass
        And the next store writes hit the faults "late"
        And 30 seconds pass
        Then 0 jobs are stored
        When another job is submitted under the id of J
        Then 1 task of J runs
        When the late store writes are carried out
        Then 1 job is stored

    # LOST: an accepted job did not run, and was removed, since the owner took it for the job that had its id before.
    Scenario: The next job with the id runs although the answer to the removal was lost
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And 235 seconds pass
        And the next store writes hit the faults "lost-answer"
        And 16 seconds pass
        Then 0 jobs are stored
        And the owner knows 1 jobs
        When another job is submitted under the id of J
        Then 1 task of J runs
        When 30 seconds pass
        Then 1 job is stored
        And 1 task of J runs

    # LOST: an ended job was answered 410, since a clock that had jumped made its retention time seem to have passed.
    Scenario Outline: A jump of the wall clock while a job ends does not shorten its retention
        When ana submits the normal job J of "1 x 2"
        And the cluster's wall clock jumps by <before> seconds
        And task 0.0.0 of J ends as done
        And the cluster's wall clock jumps by <after> seconds
        And 118 seconds pass
        Then 1 job is stored
        And the job J is completed

        Examples:
            | before | after |
            | 0      | 3600  |
            | -3600  | 3600  |

    Scenario: A jump of the wall clock at a takeover does not shorten the retention of ended jobs
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And the owner dies
        And the cluster's wall clock jumps by 3600 seconds
        And a new owner takes over
        And 118 seconds pass
        Then 1 job is stored
        And the job J is completed
        When 14 seconds pass
        Then 0 jobs are stored
