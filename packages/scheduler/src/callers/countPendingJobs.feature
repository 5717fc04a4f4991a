Feature: The number of pending jobs is shown only while it is known

    Background:
        Given a daemon with a store

    Scenario: A daemon that has not heard from an owner refuses to count
        When ana counts the pending jobs
        Then the reply is count-unknown
        And the reply gives a retry time

    Scenario: An owner without pending jobs is heard
        Given the owner has reported 0 pending jobs
        When ana counts the pending jobs
        Then the reply counts 0 pending jobs

    Scenario: A new owner that has not loaded its state leaves the last count in place
        Given the owner has reported 5 pending jobs
        And a new owner that has not loaded its state has sent a heartbeat
        When ana counts the pending jobs
        Then the reply counts 5 pending jobs

    Scenario: A daemon that knows only an owner without loaded state refuses to count
        Given a new owner that has not loaded its state has sent a heartbeat
        When ana counts the pending jobs
        Then the reply is count-unknown

    Scenario: The last count of an owner that falls silent is shown for 2 seconds
        Given the owner has reported 0 pending jobs
        When 2 seconds pass without a heartbeat
        And ana counts the pending jobs
        Then the reply counts 0 pending jobs
        When 0.1 seconds pass without a heartbeat
        And ana counts the pending jobs
        Then the reply is count-unknown
        And the reply gives a retry time

    Scenario: A new owner that has loaded its state is heard
        Given the owner has reported 0 pending jobs
        When 10 seconds pass without a heartbeat
        And a new owner has reported 5 pending jobs
        And ana counts the pending jobs
        Then the reply counts 5 pending jobs

    Scenario: The owner is asked for a count that is no longer new
        Given the owner has reported 0 pending jobs
        And the owner now has 7 pending jobs
        When ana counts the pending jobs
        Then the reply counts 0 pending jobs
        When 1.1 seconds pass without a heartbeat
        And ana counts the pending jobs
        Then the reply counts 7 pending jobs
