Feature: Steps run only where advice allows

    Background:
        Given a fleet of 3 workers with an owner

    Scenario: Only allowed workers get starts, each with its ticket
        When the advice denies w0
        And ana submits the advised job J of "4 x 4"
        And 1 seconds pass
        Then 4 tasks of J run
        And no task runs on w0
        And every start of J carries its ticket

    Scenario: A step that no worker may run waits
        When the advice denies w0
        And the advice denies w1
        And the advice denies w2
        And ana submits the advised job J of "1 x 1"
        And 2 seconds pass
        Then 0 tasks of J run
