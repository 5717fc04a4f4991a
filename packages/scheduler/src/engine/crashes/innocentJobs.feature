Feature: Jobs are shown as failed because workers crash that they run on

    Scenario Outline: A job fails since a storm of crashes hits its runs three or four times
        Given a fleet of 33 workers with an owner
        When ana submits the normal job J of "<steps>"
        And a fifth of the workers crashes together every 3 seconds, 25 times, while runs end after <age> seconds
        And 60 seconds pass in which runs end after 1 seconds
        Then the job J is completed

        Examples:
            | steps        | age |
            | 8 x 2        | 60  |
            | 60 x 4       | 8   |
            | 4 x 8 gang   | 60  |
            | 6 x 4 copies | 60  |

    Scenario: A lasting job fails since a storm of crashes hits its runs three or four times
        Given a fleet of 33 workers with an owner
        When ana submits the normal job J of "8 x 2 lasting"
        And a fifth of the workers crashes together every 3 seconds, 25 times, while runs end after 600 seconds
        And 60 seconds pass in which runs end after 600 seconds
        Then the job J is running
        And 8 tasks of J run

    Scenario Outline: A lasting job fails since its workers crash a few times in all its life
        Given a fleet of 10 workers with an owner
        When ana submits the normal job J of "1 x 2 lasting"
        And the worker under task 0.0.0 of J crashes <crashes> times, 40 seconds apart, with <deaths> deaths of the owner
        Then the job J is running
        And 1 task of J runs

        Examples:
            | crashes | deaths |
            | 3       | 0      |
            | 6       | 0      |
            | 4       | 2      |

    Scenario: A job fails since one machine crashes again and again
        Given a fleet of 10 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the machine under task 0.0.0 of J crashes every 2 seconds, 12 times
        Then the job J is running
        When 60 seconds pass in which runs end after 3 seconds
        Then the job J is completed

    Scenario: A suspected task waits for ever, since each machine with room has crashed under it
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the worker under task 0.0.0 of J crashes 3 times, 3 seconds after each start
        And 40 seconds pass in which runs end after 3 seconds
        Then the job J is completed
