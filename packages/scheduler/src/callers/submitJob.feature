Feature: A job is accepted once it is stored, and only once for each id

    Background:
        Given a daemon with a store

    Scenario: An accepted job is stored
        When ana submits a job with the digest d
        Then the reply is accepted
        And the job is stored: yes

    Scenario: A job is stored with the terms of the configuration in force, though the queue was found in an older one
        Given configuration 7 is in force, in which the queue allows 5 attempts
        When ana submits a job with the digest d
        Then the job is stored with 5 attempts of configuration 7

    Scenario: A job is stored with the terms of the configuration in which its queue was found, if it is removed since
        Given configuration 7 is in force, in which there is no queue
        When ana submits a job with the digest d
        Then the job is stored with 2 attempts of an unknown configuration

    # LOST: what a queue promises was known from the configuration only, which may no longer have the queue.
    Scenario: An accepted job is stored without the terms of its queue
        When ana submits a job with the digest d
        Then the terms that are stored with the job match the snapshot

    Scenario: A repeated submission of the same job is accepted
        When ana submits a job with the digest d
        And ana submits a job with the digest d
        Then the reply is accepted

    Scenario: A different job with the same id is refused
        When ana submits a job with the digest d
        And ana submits a job with the digest e
        Then the reply is other-job
        When bob submits a job with the digest d
        Then the reply is other-job

    Scenario: A submission whose write is refused has no effect
        Given the next store writes have the faults "refused"
        When ana submits a job with the digest d
        Then the reply is store-unavailable
        And the reply gives a retry time
        And the job is stored: no

    Scenario: A committed write whose answer is lost is accepted
        Given the next store writes have the faults "lost-answer"
        When ana submits a job with the digest d
        Then the reply is accepted
        And the job is stored: yes

    Scenario: An unanswered write is sent again within 500 ms
        Given the next store writes have the faults "silent"
        When ana submits a job with the digest d
        Then the reply is accepted
        And the reply arrived within 500 ms
        And the job is stored: yes

    Scenario: A write is sent again after several lost answers in a row
        Given the next store writes have the faults "late late"
        When ana submits a job with the digest d
        Then the reply is accepted

    Scenario: An unclear outcome is reported before the caller stops waiting
        Given the next store writes have the faults "silent"
        And the store is unreachable after the first write
        When ana submits a job with the digest d
        Then the reply is unclear
        And the reply arrived within 1600 ms

    Scenario: A write that may be applied later is reported as unclear
        Given the next store writes have the faults "late"
        And the store is unreachable after the first write
        When ana submits a job with the digest d
        Then the reply is unclear
        When the store applies its delayed writes
        Then the job is stored: yes

    Scenario: A job that the store refuses as malformed is refused for good
        Given the next store writes have the faults "malformed"
        When ana submits a job with the digest d
        Then the reply is bad-job
        And the reply gives no retry time
        And 1 store write has been sent
        And the job is stored: no

    # REFUSED: a job was refused for good although an unanswered write of it could still be carried out, and then was.
    Scenario: A write that the store refuses as malformed settles nothing while an earlier one is unanswered
        Given the store answers one write late and refuses the others as malformed
        When ana submits a job with the digest d
        Then the reply is unclear
        When the store applies its delayed writes
        Then the job is stored: yes

    Scenario: A job is accepted although its daemon does not know the latest term
        Given a term of another owner has begun
        When ana submits a job with the digest d
        Then the reply is accepted
        And the job is stored for the latest term

    Scenario: A job is accepted while the term changes and the answer to its write is lost
        Given a term of another owner has begun
        And the daemon knows the owner
        And the next store writes have the faults "late"
        And a term of another owner begins within 50 ms
        When ana submits a job with the digest d
        Then the reply is accepted
        And the job is stored for the latest term
        When the store applies its delayed writes
        Then the job is stored for the latest term

    Scenario: A write that a newer term makes void is reported as refused
        Given a term of another owner has begun
        And the daemon knows the owner
        And the next store writes have the faults "late none"
        And the store is unreachable after the first write
        And a term of another owner begins within 50 ms
        When ana submits a job with the digest d
        Then the reply is store-unavailable
        When the store applies its delayed writes
        Then the job is stored: no

    Scenario: The state of a job is read from the store while there is no owner
        When ana requests the job's state
        Then the reply is no-such-job
        When ana submits a job with the digest d
        And ana requests the job's state
        Then the reply is queued
        When bob requests the job's state
        Then the reply is no-such-job

    Scenario: Replies give a retry time while the store is unavailable
        Given the store is unavailable
        When ana submits a job with the digest d
        Then the reply is store-unavailable
        And the reply gives a retry time
        When ana requests the job's state
        Then the reply is store-unavailable

    # Submissions in progress at the end of a stop got no answer.
    Scenario: A call that must be answered at once before its write is sent has no effect
        Given calls must be answered at once after 0 ms
        When ana submits a job with the digest d
        Then the reply is store-unavailable
        And the reply gives a retry time
        And 0 store writes have been sent

    Scenario: A call that must be answered at once while its write is unanswered is unclear
        Given the next store writes have the faults "silent"
        And calls must be answered at once after 100 ms
        When ana submits a job with the digest d
        Then the reply is unclear
        And the reply arrived within 150 ms
        And 1 store write has been sent
        And the job is stored: yes

    Scenario: A call that must be answered at once after a lost answer is unclear, and is not sent again
        Given the next store writes have the faults "late"
        And calls must be answered at once after 50 ms
        When ana submits a job with the digest d
        Then the reply is unclear
        And 1 store write has been sent
