Feature: Best-effort runs yield to serving tasks

    Background:
        Given a fleet of 1 workers with an owner

    Scenario: Best-effort runs are slowed while a response time is near its target, and sped up afterwards
        When ana submits the normal job S of "1 x 1 serving lasting"
        And bob submits the bulk job F of "1 x 1 fills"
        And task 0.0.0 of F is 10 percent done
        And the response time of task 0.0.0 of S is 95 ms
        And 1 seconds pass
        Then task 0.0.0 of F runs at a pace of 0 percent
        When the response time of task 0.0.0 of S is 20 ms
        And 3 seconds pass
        Then task 0.0.0 of F runs at a pace of 30 percent
