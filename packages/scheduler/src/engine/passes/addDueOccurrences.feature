Feature: Occurrences of scheduled jobs run when they are due

    Background:
        Given a fleet of 2 workers with an owner

    Scenario: An occurrence begins when it is due, and not before
        When ana submits the scheduled job J of "1 x 1", 3 times every 2 seconds from 1 second on
        Then 0 tasks of J run
        When 1.5 seconds pass
        Then 1 task of J runs
        When 2 seconds pass
        Then 2 tasks of J run

    Scenario: A scheduled job completes with its last occurrence
        When ana submits the scheduled job J of "1 x 1", 2 times every 2 seconds from 1 second on
        And 2 seconds pass
        And task 0.0.0 of J ends as done
        Then the job J is running
        When 2 seconds pass
        And task 1.0.0 of J ends as done
        And 1 seconds pass
        Then the job J is completed

    Scenario: A new owner does not repeat a completed occurrence
        When ana submits the scheduled job J of "1 x 1", 2 times every 2 seconds from 1 second on
        And 2 seconds pass
        And task 0.0.0 of J ends as done
        And 1 seconds pass
        And the owner dies
        And a new owner takes over
        Then task 0.0.0 of J was started 1 time
