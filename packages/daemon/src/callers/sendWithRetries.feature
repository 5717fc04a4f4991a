Feature: Sending requests to endpoints that fail

    Scenario Outline: The <work> request to endpoints with the behaviours "<first>" and "<second>" is <outcome>
        Given endpoints with the behaviours "<first>" and "<second>"
        When <work> work is served
        Then its outcome is "<outcome>" with the reason "<reason>"
        And the endpoints ran it <runs> times

        Examples:
            | work           | first     | second    | outcome   | reason               | runs |
            | idempotent     | good      | good      | completed | none                 | 1    |
            | non-idempotent | good      | good      | completed | none                 | 1    |
            | idempotent     | truncates | good      | completed | none                 | 2    |
            | non-idempotent | truncates | truncates | unknown   | answer-cut           | 1    |
            | idempotent     | silent    | good      | completed | none                 | 2    |
            | non-idempotent | silent    | silent    | unknown   | deadline             | 1    |
            | non-idempotent | failsAll  | failsAll  | failed    | endpoint-failed      | 1    |
            | idempotent     | failsAll  | good      | completed | none                 | 2    |
            | non-idempotent | leaving   | good      | completed | none                 | 1    |
            | non-idempotent | gone      | good      | completed | none                 | 1    |
            | non-idempotent | gone      | gone      | refused   | endpoint-unreachable | 0    |
            | non-idempotent | leaving   | leaving   | refused   | no-endpoint          | 0    |
            | non-idempotent | foreign   | foreign   | unknown   | answer-cut           | 1    |
