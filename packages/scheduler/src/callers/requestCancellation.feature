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
