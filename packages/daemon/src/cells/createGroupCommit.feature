Feature: Group commit

    Scenario: Writes do not overlap and every caller's change is written
        When 200 callers commit at random times while writes take random times
        Then no two writes overlap
        And each caller's change is in a write that began after its call
        And there are fewer writes than callers
