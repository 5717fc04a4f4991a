Feature: Running keyed work at most once

    Scenario Outline: A repeat after "<first>" with claim faults "<faults>" gives <second>
        Given two daemons that share a store in memory
        And the next claim writes meet "<faults>"
        When the first daemon serves work that ends as "<first>"
        And the second daemon serves the same key
        Then the first answer is "<answer>" and the second is "<second>"
        And the work was sent <sent> times

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

    Scenario: A key that is used for another request is refused
        Given two daemons that share a store in memory
        When the first daemon serves work that ends as "completed"
        And the second daemon serves another request with the same key
        Then the first answer is "completed" and the second is "refused"
        And the work was sent 1 times
