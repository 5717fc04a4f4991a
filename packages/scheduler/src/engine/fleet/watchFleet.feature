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

    Scenario: A worker is cold for the time that it reports, whether it counts it down or not
        Given a fleet of 1 workers with an owner
        When a worker joins that is cold for 4 seconds
        And 1 seconds pass
        Then the workers are cold for another "0, 3000" ms, give or take the interval of the list
        When worker w1 reports that it is cold for 2 seconds
        And 1 seconds pass
        Then the workers are cold for another "0, 1000" ms, give or take the interval of the list
        When worker w1 reports that it is cold for 0 seconds
        And 1 seconds pass
        Then the workers are cold for another "0, 0" ms, give or take the interval of the list
