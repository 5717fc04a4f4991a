Feature: Accepting and promoting documents

    Scenario: Of two operators that accept documents concurrently one succeeds and the other learns who did
        Given a store without documents
        When "ana" and "bea" accept different documents concurrently
        Then one is accepted and the other is told its author
        And the configuration of "trial" matches the snapshot

    Scenario Outline: A document whose write meets the fault "<fault>" is <result>
        Given a store without documents
        And the write of the document meets the fault "<fault>"
        When "ana" accepts the document "one"
        Then the result of the acceptance is "<result>"
        And the generation of "trial" is <generation>

        Examples:
            | fault       | result      | generation |
            | lost-answer | accepted    | 1          |
            | lost-call   | accepted    | 1          |
            | late        | accepted    | 1          |
            | down        | unavailable | 0          |

    Scenario: Promotion copies the trial document with the given digest or fails
        Given a store without documents
        When "ana" accepts the document "one"
        And "bea" accepts the document "two"
        And "ana" promotes the digest of "one"
        Then the result of the promotion is "superseded"
        And the generation of "production" is 0
        When "bea" promotes the digest of "two"
        Then the result of the promotion is "accepted"
        And production has the document "two"

    Scenario: A configuration with an older generation is never put into force
        When a tracker receives the generations "1 3 2 3 1 4 2"
        Then the generations "1 3 4" are put into force
