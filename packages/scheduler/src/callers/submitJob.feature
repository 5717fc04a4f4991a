Feature: A job is accepted once it is stored, and once for each id

    Background:
        Given a daemon with a store

    Scenario: An accepted job is stored
        When ana submits a job with the digest d
        Then the answer is accepted
        And the job is stored: yes

    Scenario: The same job again is accepted and stays one
        When ana submits a job with the digest d
        And ana submits a job with the digest d
        Then the answer is accepted

    Scenario: Another job under the same id is refused
        When ana submits a job with the digest d
        And ana submits a job with the digest e
        Then the answer is other-job
        When bob submits a job with the digest d
        Then the answer is other-job

    Scenario: A refused write is a refusal that has had no effect
        Given the next writes of the store meet "refused"
        When ana submits a job with the digest d
        Then the answer is store-unavailable
        And the answer says when to come back
        And the job is stored: no

    Scenario: A write whose answer is lost is found to be done
        Given the next writes of the store meet "lost-answer"
        When ana submits a job with the digest d
        Then the answer is accepted
        And the job is stored: yes

    Scenario: A write that is not answered is sent again before the caller has waited long
        Given the next writes of the store meet "silent"
        When ana submits a job with the digest d
        Then the answer is accepted
        And the answer came within 500 ms
        And the job is stored: yes

    Scenario: Several lost answers in a row are followed up
        Given the next writes of the store meet "late late"
        When ana submits a job with the digest d
        Then the answer is accepted

    Scenario: A caller is told that an outcome is unclear while it still waits
        Given the next writes of the store meet "silent"
        And the store is unreachable after the first write
        When ana submits a job with the digest d
        Then the answer is unclear
        And the answer came within 1600 ms

    Scenario: A write that may come late is not called refused
        Given the next writes of the store meet "late"
        And the store is unreachable after the first write
        When ana submits a job with the digest d
        Then the answer is unclear
        When the kept back writes of the store are carried out
        Then the job is stored: yes

    Scenario: A job is shown from the store while there is no owner
        When ana asks for the job
        Then the answer is no-such-job
        When ana submits a job with the digest d
        And ana asks for the job
        Then the answer is queued
        When bob asks for the job
        Then the answer is no-such-job

    Scenario: A cancelled job is shown as cancelled, and only its customer cancels it
        When ana submits a job with the digest d
        And bob cancels the job
        Then the answer is no-such-job
        When ana cancels the job
        Then the answer is cancelled
        When ana asks for the job
        Then the answer is cancelled

    Scenario: A cancellation that is certainly not stored is a refusal
        When ana submits a job with the digest d
        And the next writes of the store meet "refused"
        And ana cancels the job
        Then the answer is store-unavailable
        And the answer says when to come back

    Scenario: A cancellation whose answer is lost is stored once more
        When ana submits a job with the digest d
        And the next writes of the store meet "lost-answer"
        And ana cancels the job
        Then the answer is cancelled

    Scenario: While the store does not answer, callers are told when to come back
        Given the store does not answer
        When ana submits a job with the digest d
        Then the answer is store-unavailable
        And the answer says when to come back
        When ana asks for the job
        Then the answer is store-unavailable

    Scenario Outline: Host, the longest prefix and the key decide
        Then a call of <host> at <path> with key <key> is <answer>

        Examples:
            | host | path    | key  | answer        |
            | a    | /x/1    | k1   | short         |
            | a    | /x/y/1  | k2   | long          |
            | a    | /z/1    | k1   | no-such-queue |
            | c    | /x/1    | k1   | no-such-queue |
            | a    | /x/1    | none | unknown-key   |
            | a    | /x/1    | bad  | unknown-key   |
            | b    | /x/1    | none | open          |

    Scenario: Without a configuration callers are told to come back
        Then a call without a configuration is no-configuration
