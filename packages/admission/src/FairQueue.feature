Feature: Fair queue

    Scenario: A caller's backlog delays only itself
        Given a fair queue
        When caller "boatyard" of "a" adds 1000 requests at urgency 2
        And caller "workshop" of "a" adds 3 requests at urgency 2
        Then the requests of caller "workshop" are among the first 6

    Scenario: A large customer does not hold up a small one
        Given a fair queue
        When caller "x" of "a" adds 1000 requests at urgency 2
        And caller "y" of "b" adds 3 requests at urgency 2
        Then the requests of caller "y" are among the first 7

    Scenario Outline: A flood of urgency <flood> leaves urgency <other> its share
        Given a fair queue
        When caller "x" of "a" adds 1000 requests at urgency <flood>
        And caller "y" of "b" adds 10 requests at urgency <other>
        Then the requests of caller "y" are among the first <bound>

        Examples:
            | flood | other | bound |
            | 1     | 4     | 13    |
            | 4     | 1     | 90    |
            | 4     | 2     | 50    |

    Scenario: Nothing is lost or doubled
        Given a fair queue
        When 500 random additions and removals are run
        Then every request came out once
