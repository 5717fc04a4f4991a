Feature: The progress of a job of any accepted size can be stored and is read back

    Scenario: Progress within the size of a value is one record that earlier builds read
        Given a job of 3 occurrences with mixed progress
        Then its progress is restored from values of at most 1000000 bytes
        And it takes 1 value without done tasks as bits

    Scenario: Progress beyond the size of a value is restored from smaller values
        Given a job of 3 occurrences with mixed progress
        Then its progress is restored from values of at most 900 bytes
        And it takes 5 values with done tasks as bits

    Scenario: A job with the largest number of tasks fits once nearly all are done
        Given a job of 200000 occurrences that are done but one
        Then its progress is restored from values of at most 1000000 bytes
        And it takes 1 value with done tasks as bits

    Scenario: Progress that an earlier build has rewritten is newer than the parts beside it
        Given a job of 3 occurrences with mixed progress
        When an earlier build stores other checkpoints without removing the parts
        Then the restored checkpoints are those of the earlier build
