Feature: The owner learns of jobs and cancellations that are announced to no owner

    # A daemon that has answered its caller may be gone before it announces the job.
    Scenario: A job that is stored and not announced
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 2"
        Then 1 task of J runs

    Scenario: A cancellation that is stored and not announced
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And J is cancelled by its caller
        Then 0 tasks of J run
        And the job J is cancelled

    Scenario: A job that is stored while the store does not answer the owner, and not announced
        Given a fleet of 1 workers with an owner
        When the store goes down for all daemons
        And ana submits the normal job J of "1 x 2"
        And the store is up again
        Then 1 task of J runs

    Scenario: A job that is stored while there is no owner, and not announced
        Given a fleet of 1 workers with an owner
        When the owner dies
        And ana submits the normal job J of "1 x 2"
        And a new owner takes over
        Then 1 task of J runs
