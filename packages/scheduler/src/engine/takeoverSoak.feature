Feature: Takeovers beside suspended owners, lost workers and lost orders

    Scenario: Random takeovers give a task two runs at the same time, or none
        When takeovers with faults are played for the seeds "1-8 65 270"
        Then no seed gave a task two runs at the same time
        And no seed left a job without runs
