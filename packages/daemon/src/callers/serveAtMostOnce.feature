Feature: Running a request with an idempotency key at most once

    Scenario Outline: A repeated request after "<first>" with claim write faults "<faults>" gets <second>
        Given two daemons that share an in-memory store
        And the next claim writes meet the faults "<faults>"
        When the first daemon serves a request that ends as "<first>"
        And the second daemon serves the same request with the same key
        Then the first outcome is "<answer>" and the second is "<second>"
        And the request was sent <sent> times

        Examples:
            | first     | faults                                            | answer    | second    | sent |
            | completed | none                                              | completed | completed | 1    |
            | completed | lost-answer                                       | completed | completed | 1    |
            | completed | lost-call                                         | completed | completed | 1    |
            | completed | late                                              | completed | completed | 1    |
            | completed | none lost-answer                                  | completed | completed | 1    |
            | completed | none down                                         | completed | unknown   | 1    |
            | failed    | none                                              | failed    | failed    | 1    |
            | unknown   | none                                              | unknown   | unknown   | 1    |
            | refused   | none                                              | refused   | completed | 1    |
            | completed | down                                              | refused   | completed | 1    |
            | completed | lost-call lost-call lost-call lost-call lost-call | refused   | completed | 1    |
            | dies      | none                                              | none      | unknown   | 1    |

    Scenario: A key that was used for a different request is refused
        Given two daemons that share an in-memory store
        When the first daemon serves a request that ends as "completed"
        And the second daemon serves a different request with the same key
        Then the first outcome is "completed" and the second is "refused"
        And the request was sent 1 times
