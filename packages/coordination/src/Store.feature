Feature: Store writes whose responses are lost

    Scenario Outline: A write that meets the faults <faults> ends as <result> and changes the value <effects> times
        Given an in-memory store with a claim written by another daemon
        And the next writes meet the faults "<faults>"
        When the claim is replaced
        Then the write is "<result>"
        And the value has changed <effects> times

        Examples:
            | faults                              | result      | effects |
            | none                                | done        | 1       |
            | lost-answer                         | done        | 1       |
            | lost-call                           | done        | 1       |
            | late                                | done        | 1       |
            | lost-call lost-answer               | done        | 1       |
            | lost-answer lost-answer             | done        | 1       |
            | late lost-call                      | done        | 1       |
            | late late                           | done        | 1       |
            | down                                | unavailable | 0       |
            | lost-call down                      | done        | 1       |
            | lost-call down down down down       | unclear     | 0       |
            | lost-call lost-call lost-call lost-call lost-call | unclear | 0 |

    # A job was refused as not stored although an unanswered write of it could still be carried out, and then was.
    Scenario: A write that is carried out while it is refused at the second attempt is done
        Given an in-memory store with a claim written by another daemon
        And the next writes meet the faults "late down"
        When the claim is replaced
        Then the write is "done"
        And the value has changed 1 times

    Scenario: A lost write is a conflict if another daemon replaces the value before it is sent again
        Given an in-memory store with a claim written by another daemon
        And the next writes meet the faults "lost-call"
        And another daemon replaces the claim during the first backoff
        When the claim is replaced
        Then the write is "conflict"

    Scenario: A corrupted value is reported as unreadable
        Given an in-memory store with a claim written by another daemon
        When the stored bytes are corrupted
        Then reading the claim fails with "unreadable"
