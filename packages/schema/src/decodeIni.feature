Feature: Decoding INI text with a schema

    Scenario: A valid document is decoded
        Given the example document "boliche-nordeste"
        When the document is parsed
        Then the parsed document matches the snapshot

    Scenario Outline: An error is reported with its line and a correction: <error>
        Given the example document "boliche-nordeste"
        And its text "<before>" is replaced by "<after>"
        When the document is parsed
        Then the reported errors match the snapshot

        Examples:
            | error                 | before                 | after                   |
            | misspelled key        | weight = 4             | wieght = 4              |
            | unknown section       | [kind.walk-in]         | [sort.walk-in]          |
            | value out of range    | weight = 4             | weight = 0              |
            | not a number          | weight = 4             | weight = heavy          |
            | number too large      | weight = 4             | weight = 9999999999     |
            | infinite number       | rate_per_second = 2000 | rate_per_second = LARGE |
            | negative number       | weight = 4             | weight = -4             |
            | unknown enum value    | urgency = urgent       | urgency = now           |
            | not a boolean         | idempotent = true      | idempotent = maybe      |
            | repeated key          | weight = 4             | weight = 4\nweight = 5  |
            | key outside a section | [data_centre.recife]   | [data_centre]           |
            | bad token digest      | token_sha256 =         | token_sha256 = Z        |
            | bad identifier        | [kind.walk-in]         | [kind.Walk_In]          |
            | prototype name        | [kind.walk-in]         | [kind.__proto__]        |
