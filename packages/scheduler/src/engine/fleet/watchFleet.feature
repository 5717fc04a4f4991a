Feature: Workers that join the fleet run what waits

    Scenario: Waiting tasks run within a second on workers that join
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8"
        And ana submits the normal job K of "2 x 8 gang"
        And 1 second passes
        Then 0 tasks of K run
        When 2 workers join the fleet
        And 1 second passes
        Then 2 tasks of K run
        And 1 task of J runs

    Scenario: Workers that join while the store is down run tasks once it is up
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And the store goes down
        And 1 worker joins the fleet
        And 2 seconds pass
        Then 1 task of J runs
        When the store is up again
        And 1 second passes
        Then 2 tasks of J run
