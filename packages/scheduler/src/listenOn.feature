Feature: A server waits for an address that another process still uses

    Background:
        Given a server that waits up to 8 seconds for an address in use

    Scenario: The server listens once the address is free
        When 3 seconds of the wait pass
        And the address becomes free
        And 1 second of the wait passes
        Then the server listens
        And the wait and its end are logged once each

    Scenario: An address that stays in use is given up after the wait
        When 7.9 seconds of the wait pass
        Then the server still waits
        When 0.2 seconds of the wait pass
        Then the server fails with "EADDRINUSE"

    Scenario: The wait is given up when the start is
        When 3 seconds of the wait pass
        And the start is given up
        Then the server fails with "ABORT_ERR"

    Scenario: The server keeps no listener for errors of its start
        When the address becomes free
        And 1 second of the wait passes
        Then the server listens
        And the server has no listener for errors
