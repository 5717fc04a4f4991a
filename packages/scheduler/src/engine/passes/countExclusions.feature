Feature: The log tells why a step waits although there is room for it

    Scenario: Workers are counted by the first reason that keeps them from a step
        Given workers that are "available, available, paused, reserved, cordoned, unlisted, draining, evacuated, unanswered, unresponsive, not-in-roster, full, paused"
        When the exclusions of a step are counted
        Then the counts match their snapshot

    Scenario: A wait is logged once, with what keeps the workers from the step
        Given a fleet of 16 workers with an owner
        And the log is recorded
        When bob submits the bulk job B of "16 x 1 spread"
        And task 0.0.0 of B ends as done
        And task 0.0.4 of B ends as done
        And task 0.0.8 of B ends as done
        And task 0.0.12 of B ends as done
        And ana submits the normal job G of "2 x 8 gang one-rack"
        And 5 seconds pass while all runs make progress
        Then 1 wait of G is logged, with the workers "available 4"
