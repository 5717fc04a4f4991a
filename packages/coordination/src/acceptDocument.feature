Feature: Accepting and promoting documents

    Scenario: Of two operators that race one wins and the other learns who won
        Given a store for documents
        When "ana" and "bea" accept different documents at the same moment
        Then one is accepted and the other is told the winner
        And the history of "trial" is as in its snapshot

    Scenario Outline: A document whose acceptance meets "<fault>" is <result>
        Given a store for documents
        And the acceptance meets the fault "<fault>"
        When "ana" accepts the document "one"
        Then the acceptance is "<result>"
        And the generation of "trial" is <generation>

        Examples:
            | fault       | result      | generation |
            | lost-answer | accepted    | 1          |
            | lost-call   | accepted    | 1          |
            | late        | accepted    | 1          |
            | down        | unavailable | 0          |

    Scenario: Promotion moves the tried bytes or nothing
        Given a store for documents
        When "ana" accepts the document "one"
        And "bea" accepts the document "two"
        And "ana" promotes the digest of "one"
        Then the promotion is "superseded"
        And the generation of "production" is 0
        When "bea" promotes the digest of "two"
        Then the promotion is "accepted"
        And production holds the bytes of "two"

    Scenario: A generation never goes back
        When a tracker is offered the generations "1 3 2 3 1 4 2"
        Then the generations "1 3 4" came into force
