Feature: A cancelled job does not run

    Background:
        Given a daemon with a store

    Scenario: A cancelled job is reported as cancelled, and only its customer can cancel it
        When ana submits a job with the digest d
        And bob cancels the job
        Then the reply is no-such-job
        When ana cancels the job
        Then the reply is cancelled
        When ana requests the job's state
        Then the reply is cancelled

    Scenario: A cancellation whose write is refused is refused with a retry time
        When ana submits a job with the digest d
        And the next store writes have the faults "refused"
        And ana cancels the job
        Then the reply is store-unavailable
        And the reply gives a retry time

    Scenario: A cancellation whose answer is lost is sent again
        When ana submits a job with the digest d
        And the next store writes have the faults "lost-answer"
        And ana cancels the job
        Then the reply is cancelled

    # UNASKED: a job ran whose cancellation had been acknowledged, since its unanswered write was carried out afterwards.
    Scenario: A submission that is still unanswered does not store its job after the cancellation
        Given the store carries out writes late and without an answer
        When ana submits a job with the digest d
        Then the reply is unclear
        When the store answers writes again
        And ana cancels the job
        Then the reply is no-such-job
        When the store applies its delayed writes
        Then the job is stored: no
        When ana requests the job's state
        Then the reply is no-such-job

    Scenario: A submission that is repeated after the cancellation is refused for good
        When ana cancels the job
        Then the reply is no-such-job
        When ana submits a job with the digest d
        Then the reply is withdrawn
        And the reply gives no retry time
        And the job is stored: no

    Scenario: A submission that reaches a daemon of another term after the cancellation is refused for good
        Given a term of another owner has begun
        When ana cancels the job
        And ana submits a job with the digest d
        Then the reply is withdrawn

    Scenario: A customer cannot prevent the job of another one
        Given the store carries out writes late and without an answer
        When ana submits a job with the digest d
        Then the reply is unclear
        When the store answers writes again
        And bob cancels the job
        Then the reply is no-such-job
        When the store applies its delayed writes
        Then the job is stored: yes
        When ana submits a job with the digest d
        Then the reply is accepted
        When bob cancels the job
        Then the reply is no-such-job
        When ana requests the job's state
        Then the reply is queued

    Scenario: A job that is stored while it is being cancelled is cancelled
        Given the store carries out writes late and without an answer
        When ana submits a job with the digest d
        Then the reply is unclear
        When the store answers writes again
        And the store applies its delayed writes right after the next read
        And ana cancels the job
        Then the reply is cancelled
        When ana requests the job's state
        Then the reply is cancelled

    Scenario: A cancellation that is carried out late does not affect a job that is stored meanwhile
        Given the store carries out writes late and without an answer
        When ana cancels the job
        Then the reply is unclear
        And the reply gives a retry time
        When the store answers writes again
        And ana submits a job with the digest d
        Then the reply is accepted
        When the store applies its delayed writes
        And ana requests the job's state
        Then the reply is queued
        When ana submits a job with the digest d
        Then the reply is accepted

    Scenario: The cancellation of a job that is not stored is refused with a retry time if its write is
        Given the next store writes have the faults "refused"
        When ana cancels the job
        Then the reply is store-unavailable
        And the reply gives a retry time
        When ana submits a job with the digest d
        Then the reply is accepted

    Scenario: The cancellation of a job that is not stored is refused if it must be answered at once
        Given calls must be answered at once after 0 ms
        When ana cancels the job
        Then the reply is store-unavailable
        And 0 store writes have been sent

    Scenario: Cancellations of jobs that are not stored are kept for minutes, under a lease that they share
        When ana cancels 20 jobs that are not stored
        Then the store keeps 20 withdrawals
        And 1 store lease has been granted
        When 239 seconds pass without a heartbeat
        Then the store keeps 20 withdrawals
        When 62 seconds pass without a heartbeat
        Then the store keeps 0 withdrawals

    Scenario: A cancellation shortly before the end of the shared lease is kept for minutes as well
        When ana cancels 1 job that is not stored
        And 61 seconds pass without a heartbeat
        And ana cancels the job
        Then 2 store leases have been granted
        When 239 seconds pass without a heartbeat
        And ana submits a job with the digest d
        Then the reply is withdrawn

    Scenario: A shared lease that the store has ended early is replaced
        When ana cancels 1 job that is not stored
        And the store ends all its leases
        And ana cancels the job
        Then the reply is no-such-job
        And 2 store leases have been granted
        When ana submits a job with the digest d
        Then the reply is withdrawn
