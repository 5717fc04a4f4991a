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

    # A process that exits loses the lines that its output has not accepted yet, the last one of a stop among them.
    Scenario: A flush waits until a full output has accepted all lines
        Given an output that is full for the first 20 writes
        When 3 log lines are written and flushed
        Then the lines are flushed
        And the output holds the lines "line 0, line 1, line 2"

    Scenario: A flush without lines ends at once
        Given an output that completes each write asynchronously
        When 0 log lines are written and flushed
        Then the lines are flushed

    Scenario: A flush waits for a write in progress
        Given an output that completes each write asynchronously
        When 1 log line is written and flushed
        Then the lines are flushed

    Scenario: A flush gives up at its timeout
        Given an output that never completes a write
        When 3 log lines are written and flushed
        Then the lines are not flushed
