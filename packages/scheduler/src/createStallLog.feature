Feature: A process logs for how long its event loop stood still

    Scenario Outline: A call that comes <late> ms after the one before, with <cpu> ms of processor time
        Given a process that logs stalls of its event loop
        When its next turn comes after <late> ms, in which it used <cpu> ms of processor time
        Then the logged stalls are "<stalls>"
        When its next turn comes after 100 ms, in which it used 5 ms of processor time
        Then the logged stalls are "<stalls>"

        Examples:
            | late | cpu  | stalls       |
            | 100  | 100  |              |
            | 299  | 10   |              |
            | 300  | 290  | 300 with 290 |
            | 3600 | 12   | 3600 with 12 |

    Scenario: The longest stall is remembered for 30 s
        Given a process that logs stalls of its event loop
        Then the longest stall is of 0 ms
        When its next turn comes after 900 ms, in which it used 5 ms of processor time
        And 20 seconds pass with a turn each 0.1 seconds
        And its next turn comes after 400 ms, in which it used 5 ms of processor time
        Then the longest stall is of 900 ms
        When 15 seconds pass with a turn each 0.1 seconds
        Then the longest stall is of 400 ms
        When 20 seconds pass with a turn each 0.1 seconds
        Then the longest stall is of 0 ms
