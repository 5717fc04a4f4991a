Feature: Logging never blocks, and loses nothing in silence

    Scenario: Lines that find the output full are written later, in order
        Given an output that is full 2 times
        When 3 log lines are written
        Then the output holds the lines "line 0, line 1, line 2"
        And 0 lines were dropped

    Scenario: A partial write is completed
        Given an output that takes 5 bytes at a time
        When 3 log lines are written
        Then the output holds the lines "line 0, line 1, line 2"

    Scenario: A burst is written in pieces that a pipe takes whole
        Given an output that takes its time
        When 2000 log lines are written
        Then the output was written more than once, never more than 4096 bytes

    Scenario: Beyond the bound lines are dropped and counted
        Given an output that takes nothing
        When 200000 log lines are written
        Then some lines were dropped
