Feature: Random crashes beside jobs of which no task crashes its workers

    Scenario Outline: Innocent jobs fail beside <disruption> with <owners>
        When innocent jobs beside <disruption> with <owners> are played for the seeds "<seeds>"
        Then no seed showed an innocent job as failed
        And no seed left an innocent job unfinished after the disruptions
        And no seed left a lasting task idle after the disruptions

        Examples:
            | disruption   | owners    | seeds              |
            | storms       | one-owner | 1-2                |
            | storms       | takeovers | 1-2 36 95          |
            | lone-crashes | one-owner | 1 3                |
            | lone-crashes | takeovers | 1 3 37 41 42 69    |
            | racks        | one-owner | 3 6                |
            | racks        | takeovers | 1 3                |
            | flapping     | one-owner | 4 9 14             |
            | flapping     | takeovers | 4 9 14 74          |
            | cuts         | one-owner | 5 7 11 44 67 77 98 |
            | cuts         | takeovers | 2 4 10 96          |
