Feature: Machines undergo upkeep in waves

    Scenario: Machines go down a few at a time, after their runs have ended
        Given a fleet of 4 workers with an owner
        When ana submits the normal job J of "2 x 8 checkpoints"
        And the operator orders the upkeep of all machines, 2 at a time
        And 4 seconds pass
        Then the wave of upkeep is running
        When 20 seconds pass
        Then the wave of upkeep is completed
        And the peak number of machines down is 2, none with runs on it

    Scenario: A lasting task leaves a machine for its upkeep and returns afterwards
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8 lasting"
        And the operator orders the upkeep of all machines, 1 at a time
        And 10 seconds pass
        Then the wave of upkeep is completed
        And the peak number of machines down is 1, none with runs on it
        And 1 task of J runs

    Scenario: A new owner continues a wave of upkeep
        Given a fleet of 3 workers with an owner
        When the operator orders the upkeep of all machines, 1 at a time
        And 2 seconds pass
        And the owner dies
        And a new owner takes over
        And 20 seconds pass
        Then the wave of upkeep is completed
        And the peak number of machines down is 1, none with runs on it

    Scenario: A task runs twice because a new owner repeats the upkeep of a machine whose worker is silent
        Given a fleet of 3 workers with an owner
        When the operator orders the upkeep of all machines, 1 at a time
        And 4 seconds pass
        And ana submits the normal job J of "2 x 8"
        And 2 seconds pass
        And the worker of task 0.0.1 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 2 seconds pass
        Then each task of J was started 1 time
        When 40 seconds pass
        Then the wave of upkeep is completed

    Scenario: A wave that cannot be decoded does not keep the others waiting
        Given a fleet of 4 workers with an owner
        When another client stores a wave that cannot be decoded
        And the operator orders the upkeep of all machines, 2 at a time
        And 20 seconds pass
        Then the wave of upkeep is completed
        And 1 record wave is ignored
