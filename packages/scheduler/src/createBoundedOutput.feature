Feature: Logging never blocks, and drops are counted

    Scenario: Lines written while the output is full are retried in order
        Given an output that is full for the first 2 writes
        When 3 log lines are written
        Then the output holds the lines "line 0, line 1, line 2"
        And 0 lines were dropped

    Scenario: The rest of a partial write is written
        Given an output that accepts 5 bytes per write
        When 3 log lines are written
        Then the output holds the lines "line 0, line 1, line 2"

    Scenario: A burst is split into writes that a pipe accepts atomically
        Given an output that completes each write asynchronously
        When 2000 log lines are written
        Then the output received several writes of at most 4096 bytes each
        And each write holds whole lines

    Scenario: Lines beyond the buffer's limit are dropped and counted
        Given an output that never completes a write
        When 200000 log lines are written
        Then some lines were dropped
