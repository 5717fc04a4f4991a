Feature: Steps run only on workers that the advice service allows

    Background:
        Given a fleet of 3 workers with an owner

    Scenario: Runs start only on allowed workers, each with the worker's ticket
        When the advice service denies w0
        And ana submits the advised job J of "4 x 4"
        And 1 seconds pass
        Then 4 tasks of J run
        And no task runs on w0
        And every start of J carries its ticket

    Scenario: A step waits while no worker is allowed to run it
        When the advice service denies w0
        And the advice service denies w1
        And the advice service denies w2
        And ana submits the advised job J of "1 x 1"
        And 2 seconds pass
        Then 0 tasks of J run
