Feature: Decoding INI texts by a schema

    Scenario: A good document is decoded
        Given the document of "boliche-nordeste"
        When the document is parsed
        Then the parsed document is as in its snapshot

    Scenario Outline: A fault is reported with its line and a remedy: <fault>
        Given the document of "boliche-nordeste"
        And its text "<before>" is replaced by "<after>"
        When the document is parsed
        Then the reported faults are as in their snapshot

        Examples:
            | fault               | before                 | after                   |
            | misspelled key      | weight = 4             | wieght = 4              |
            | unknown section     | [kind.walk-in]         | [sort.walk-in]          |
            | value out of range  | weight = 4             | weight = 0              |
            | no number           | weight = 4             | weight = heavy          |
            | negative number     | weight = 4             | weight = -4             |
            | unknown choice      | urgency = urgent       | urgency = now           |
            | no boolean          | idempotent = true      | idempotent = maybe      |
            | key stands twice    | weight = 4             | weight = 4\nweight = 5  |
            | key in a map        | [data_centre.recife]   | [data_centre]           |
            | bad token digest    | token_sha256 =         | token_sha256 = Z        |
            | bad identifier      | [kind.walk-in]         | [kind.Walk_In]          |
            | prototype name      | [kind.walk-in]         | [kind.__proto__]        |
