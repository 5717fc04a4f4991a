Feature: Sharing limits between daemons

    Scenario: The shares follow the members and never exceed the document's limits by more than rounding
        Given a kind with a concurrency of 7 and a rate of 12 a second
        Then with 1 daemon each admits 7 at once
        And with 3 daemons each admits 3 at once
        And with 7 daemons each admits 1 at once
