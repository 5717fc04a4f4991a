Feature: Signals are logged with the stage at which they arrive

    Scenario: A signal that arrives before there is a log is logged once there is one
        Given a process that receives signals
        When "SIGHUP" arrives
        And signals are logged
        Then the logged signals are "SIGHUP starting"

    Scenario: Each signal is logged with its stage
        Given a process that receives signals
        When signals are logged
        And "SIGHUP" arrives
        And the start ends
        And "SIGTERM" arrives
        And "SIGTERM" arrives
        Then the logged signals are "SIGHUP starting, SIGTERM running, SIGTERM stopping"

    Scenario: A series of signals is logged in one line a second
        Given a process that receives signals
        When signals are logged
        And the start ends
        And "SIGHUP" arrives 1000 times in 2.5 seconds
        Then 3 signals are logged, and 798 signals are counted in their lines
