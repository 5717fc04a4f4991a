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
