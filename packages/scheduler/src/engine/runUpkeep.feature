Feature: Machines have their upkeep in waves

    Scenario: Machines go down few at a time, emptied before
        Given a fleet of 4 workers with an owner
        When ana submits the normal job J of "2 x 8 checkpoints"
        And the operator wants the upkeep of all machines, 2 at a time
        And 4 seconds pass
        Then the wave is running
        When 20 seconds pass
        Then the wave is completed
        And at most 2 machines were down at once, none with work on it

    Scenario: Lasting work moves away from a machine and comes back
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8 lasting"
        And the operator wants the upkeep of all machines, 1 at a time
        And 10 seconds pass
        Then the wave is completed
        And at most 1 machine was down at once, none with work on it
        And 1 task of J runs

    Scenario: A new owner goes on with a wave
        Given a fleet of 3 workers with an owner
        When the operator wants the upkeep of all machines, 1 at a time
        And 2 seconds pass
        And the owner dies
        And a new owner takes over
        And 20 seconds pass
        Then the wave is completed
        And at most 1 machine was down at once, none with work on it
