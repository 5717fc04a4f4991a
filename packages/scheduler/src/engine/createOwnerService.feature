Feature: The owner counts the pending jobs while it knows all jobs

    Scenario: The owner counts the jobs that it has learnt of
        Given a fleet of 0 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And ana submits the normal job K of "1 x 2"
        Then the owner counts 2 pending normal jobs

    Scenario: An owner that has not read the stored jobs for long does not count until it reads them again
        Given a fleet of 0 workers with an owner
        When the watches stop delivering changes
        And ana submits the normal job J of "1 x 2"
        And 6 seconds pass
        Then the owner does not know the number of pending jobs
        When the watches deliver changes again
        And ana submits the normal job K of "1 x 2"
        Then the owner does not know the number of pending jobs
        When ana submits the normal job L of "1 x 2"
        Then the owner counts 3 pending normal jobs

    Scenario: An owner counts while no daemon can store a job
        Given a fleet of 0 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the store goes down for all daemons
        And 10 seconds pass
        Then the owner counts 1 pending normal job

    Scenario Outline: A job that no worker has begun is pending, although its start was ordered
        Given a fleet of 1 workers with an owner
        And the next orders to w0 hit the faults "<faults>"
        When ana submits the normal job J of "1 x 2"
        Then the owner counts 1 pending normal job
        When 2 seconds pass
        Then 1 task of J runs
        And the owner counts no pending jobs

        Examples:
            | faults    |
            | refused   |
            | late late |

    Scenario: A job whose only run was stopped before its start was confirmed has started
        Given a fleet of 1 workers with an owner
        And the next orders to w0 hit the faults "lost-answer late"
        When ana submits the normal job J of "1 x 2"
        And 0.1 seconds pass
        Then 0 tasks of J run
        And the owner counts no pending jobs
