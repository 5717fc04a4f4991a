Feature: Writing to a store that loses answers

    Scenario Outline: A write with the faults <faults> is <result>, and took effect <effects> times
        Given a store in memory with a claim written by another
        And the next writes meet the faults "<faults>"
        When the claim is replaced
        Then the write is "<result>"
        And the value was changed <effects> times

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
            | lost-call lost-call lost-call lost-call lost-call | unclear | 0 |

    Scenario: A write whose answer is lost and whose value is then replaced is a conflict
        Given a store in memory with a claim written by another
        And the next writes meet the faults "lost-call"
        And another replaces the claim meanwhile
        When the claim is replaced
        Then the write is "conflict"

    Scenario: Damaged and newer values are reported, not guessed
        Given a store in memory with a claim written by another
        When the stored bytes are damaged
        Then reading it gives "unreadable"
