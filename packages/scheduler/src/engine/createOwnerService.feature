Feature: The owner counts pending jobs only while it knows all jobs

    Background:
        Given a fleet of 0 workers with an owner

    Scenario: The owner counts the jobs that it has learnt of
        When ana submits the normal job J of "1 x 2"
        And ana submits the normal job K of "1 x 2"
        Then the owner counts 2 pending normal jobs

    Scenario: An owner that has not read the stored jobs for long does not count until it reads them again
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
        When ana submits the normal job J of "1 x 2"
        And the store goes down for all daemons
        And 10 seconds pass
        Then the owner counts 1 pending normal job
