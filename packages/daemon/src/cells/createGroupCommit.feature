Feature: Group commit

    Scenario: No two writes overlap and every caller sees its own change written
        When callers commit at 200 random moments while writes end at others
        Then no two writes overlap
        And each caller's change is in a write that began after its call
        And there are fewer writes than callers
