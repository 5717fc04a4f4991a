Feature: The clock in an answer tells which incarnation of a worker has given it

    Scenario: Readings around the clock of the known incarnation
        Then the incarnations by reading match the snapshot, for clocks that were read at 60000 ms and at 100 ms
