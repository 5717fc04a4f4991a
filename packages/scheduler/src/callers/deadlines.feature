Feature: Calls are answered before their callers give up

    Background:
        Given a daemon with a store

    # LOST: a request ended without an answer, since neither the owner nor the store answered in its time.
    Scenario: A request for a job's state is answered in time while the store is slow
        Given the store answers reads after 5000 ms
        When ana requests the job's state
        Then the reply is store-unavailable
        And the reply gives a retry time
        And the reply arrived within 3000 ms

    Scenario: A cancellation is answered in time while the store is slow
        Given the store answers reads after 5000 ms
        When ana cancels the job
        Then the reply is store-unavailable
        And the reply gives a retry time
        And the reply arrived within 3000 ms

    Scenario: A cancellation that is sent late is answered in time
        Given the store answers reads after 2850 ms
        And the store never answers writes
        When ana cancels the job
        Then the reply is unclear
        And the reply arrived within 3000 ms

    Scenario: A cancellation does not wait longer than its caller for the lease of withdrawals
        Given the store grants leases after 5000 ms
        When ana cancels the job
        Then the reply is store-unavailable
        And the reply arrived within 3000 ms

    Scenario: A submission whose body has arrived late is answered in time
        Given callers wait for 100 ms
        And the store never answers writes
        When ana submits a job with the digest d
        Then the reply is unclear
        And the reply arrived within 100 ms

    Scenario Outline: A job's state that the store returns late is still reported
        Given the store answers reads after <delay> ms
        When ana submits a job with the digest d
        And ana requests the job's state
        Then the reply is queued
        And the reply arrived within 3000 ms

        Examples:
            | delay |
            | 2900  |
            | 2950  |
