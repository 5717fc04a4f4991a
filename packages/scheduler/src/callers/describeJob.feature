Feature: The state of a job is read from the owner, and from the store if the owner cannot tell it

    Background:
        Given a daemon with a store

    Scenario: The owner knows the job
        When ana submits a job with the digest d
        And the owner knows the job of ana as RUNNING
        And ana requests the job's state
        Then the reply is running
        When bob requests the job's state
        Then the reply is no-such-job

    # Guards against a 410 for an accepted job that the owner has not heard of, or that a daemon asks the wrong owner for.
    Scenario Outline: An accepted job is known although the owner <cannot tell its state>
        When ana submits a job with the digest d
        And the owner <cannot tell its state>
        And ana requests the job's state
        Then the reply is queued

        Examples:
            | cannot tell its state     |
            | does not know the job     |
            | is no longer the owner    |
            | does not answer           |
            | refuses connections       |
            | is a daemon that has left |

    Scenario: An accepted job is known although the daemon itself is the owner and has not heard of it
        When ana submits a job with the digest d
        And the daemon becomes the owner and knows no job
        And ana requests the job's state
        Then the reply is queued

    Scenario Outline: The stored end of a job counts while there is no owner, also if it is cancelled later
        When ana submits a job with the digest d
        And the progress of the job is stored as <progress>
        And ana requests the job's state
        Then the reply is <state>
        When ana cancels the job
        And ana requests the job's state
        Then the reply is <later>

        Examples:
            | progress  | state     | later     |
            | RUNNING   | running   | cancelled |
            | COMPLETED | completed | completed |
            | FAILED    | failed    | failed    |
