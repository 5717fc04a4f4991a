Feature: Fair queue

    Scenario: The backlog of a caller does not delay another caller of the customer
        Given a fair queue
        When caller "boatyard" of "a" adds 1000 requests at urgency 2
        And caller "workshop" of "a" adds 3 requests at urgency 2
        Then the requests of caller "workshop" are among the first 6

    Scenario: The backlog of a customer does not delay another customer
        Given a fair queue
        When caller "x" of "a" adds 1000 requests at urgency 2
        And caller "y" of "b" adds 3 requests at urgency 2
        Then the requests of caller "y" are among the first 7

    Scenario Outline: A backlog at urgency <backlog> leaves urgency <other> its share
        Given a fair queue
        When caller "x" of "a" adds 1000 requests at urgency <backlog>
        And caller "y" of "b" adds 10 requests at urgency <other>
        Then the requests of caller "y" are among the first <bound>

        Examples:
            | backlog | other | bound |
            | 1       | 4     | 13    |
            | 4       | 1     | 90    |
            | 4       | 2     | 50    |

    Scenario: Every request leaves the queue exactly once
        Given a fair queue
        When 500 requests are added or removed at random
        Then every request was removed exactly once
