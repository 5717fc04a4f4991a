Feature: Dividing limits among daemons

    Scenario: The shares follow the number of members and exceed the configured limits only by rounding
        Given a kind with a concurrency limit of 7 and a rate limit of 12 a second
        Then with 1 daemon each admits 7 at once
        And with 3 daemons each admits 3 at once
        And with 7 daemons each admits 1 at once
