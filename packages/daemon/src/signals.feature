Feature: The daemon handles signals from its start on

    Scenario: A SIGHUP that arrives while the daemon reads its settings does not end it
        Given a daemon process that waits for the rest of its settings
        When the daemon process receives SIGHUP
        And the rest of the daemon's settings arrives
        Then the daemon process logs "The daemon is running."
        And the daemon process has logged the signal SIGHUP at the stage "starting"

    Scenario: A SIGTERM that arrives while the daemon reads its settings ends it before it listens
        Given a daemon process that waits for the rest of its settings
        When the daemon process receives SIGTERM
        And the rest of the daemon's settings arrives
        Then the daemon process ends with status 0 and the line "The daemon has stopped."
        And the daemon process has logged the signal SIGTERM at the stage "starting"

    Scenario: A daemon that waits for an address in use is stopped by SIGTERM
        Given another process listens on the callers' address of a daemon
        And a daemon process that waits for the rest of its settings
        When the rest of the daemon's settings arrives
        Then the daemon process logs "The address is in use. The daemon waits for it."
        When the daemon process receives SIGTERM
        Then the daemon process ends with status 0 and the line "The daemon has stopped."
