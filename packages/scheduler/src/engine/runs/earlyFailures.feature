Feature: Jobs are shown as failed although none of their tasks has failed as often as its queue allows

    Scenario Outline: A job is shown as failed since its runs end again and again without a failure of their own
        Given a fleet of 4 workers with an owner
        When ana submits the normal job J of "<step>"
        And the runs of J end as <end> 4 times, with a death of the owner after each
        Then the job J is running

        Examples:
            | step       | end     |
            | 1 x 2      | stopped |
            | 1 x 2      | lapsed  |
            | 2 x 8 gang | broken  |
            | 2 x 8 gang | alone   |

    Scenario: A job is shown as failed since two members of its gang fail in one run, and the next owner hears of the second
        Given a fleet of 4 workers with an owner
        When ana submits the normal job J of "2 x 8 gang"
        And the worker of task 0.0.1 of J is disconnected
        And task 0.0.1 of J ends as failed
        And task 0.0.0 of J ends as failed
        And the owner dies
        And a new owner takes over
        And the disconnected worker is reachable again
        And 3 seconds pass
        Then the job J is running
        And 2 tasks of J run
        When task 0.0.1 of J ends as failed
        And 1 second passes
        Then the job J is failed

    Scenario: A job is shown as failed since both copies of its task are counted again after a takeover
        Given a fleet of 2 workers with an owner
        When the queue normal allows 3 attempts
        And ana submits the normal job J of "1 x 2 copies"
        And 3 seconds pass
        And task 0.0.0 of J is 10 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 20 percent done
        And 2 seconds pass
        Then 2 tasks of J run
        When both runs of task 0.0.0 of J end as failed, and the owner dies once both are stored
        And a new owner takes over
        And 3 seconds pass
        Then the job J is running
        When task 0.0.0 of J ends as failed
        And 1 second passes
        Then the job J is failed

    Scenario: A job is shown as failed since its owner has an older configuration than that of its acceptance
        Given a fleet of 2 workers with an owner
        When the next configuration allows 3 attempts in the queue normal
        And ana submits the normal job J of "1 x 1" through a daemon with the next configuration
        And task 0.0.0 of J ends as failed
        And 1 second passes
        And task 0.0.0 of J ends as failed
        And 1 second passes
        Then the job J is running
        When task 0.0.0 of J ends as failed
        And 1 second passes
        Then the job J is failed

    Scenario: A job is shown as failed since a replaced owner, whose queue allowed fewer attempts, stores that late
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "1 x 1"
        And the queue normal allows 1 attempts
        And the next store writes hit the faults "late refused refused refused refused refused refused"
        And task 0.0.0 of J ends as failed
        Then the job J is running
        When the owner dies
        And the queue normal allows 3 attempts
        And a new owner takes over
        And the late store writes are carried out
        And 1 second passes
        Then the job J is running
        When the owner dies
        And a new owner takes over
        Then the job J is running
        And 1 task of J runs

    Scenario: A job that stored no terms is shown as failed since a new owner does not have the configuration yet
        Given a fleet of 2 workers with an owner
        When the queue normal allows 3 attempts
        And ana submits the normal job J of "1 x 1" through a daemon that stores no term
        And 1 second passes
        And task 0.0.0 of J ends as failed
        And 1 second passes
        And the owner dies
        And task 0.0.0 of J ends as failed
        And a new owner takes over that does not have the configuration yet
        Then the job J is running
        When the owner has the next configuration
        And 1 second passes
        Then 1 task of J runs
        When task 0.0.0 of J ends as failed
        And 1 second passes
        Then the job J is failed
