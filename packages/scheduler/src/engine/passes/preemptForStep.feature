Feature: Guaranteed jobs preempt other jobs

    Background:
        Given a fleet of 4 workers with an owner

    Scenario: A guaranteed job preempts other jobs on a full fleet
        When bob submits the bulk job B of "32 x 1"
        And ana submits the urgent job G of "2 x 8 gang"
        And 1 seconds pass
        Then 2 tasks of G run

    Scenario: A guaranteed gang that requires one rack preempts runs in one rack
        When bob submits the bulk job B of "8 x 4"
        And ana submits the urgent job G of "2 x 8 gang one-rack"
        And 1 seconds pass
        Then 2 tasks of G run
        And the tasks of G run in one rack

    Scenario: A guaranteed job is not preempted for another urgent job
        When ana submits the urgent job G of "2 x 8 gang"
        And bob submits the urgent job H of "4 x 8 gang"
        And 2 seconds pass
        Then 2 tasks of G run
        And 0 tasks of H run

    Scenario: A job beyond its customer's guarantee does not preempt jobs of the same priority
        When bob submits the urgent job B of "4 x 8"
        And ana submits the urgent job G of "4 x 8 gang"
        And 2 seconds pass
        Then 4 tasks of B run
        And 0 tasks of G run

    Scenario: Preempted tasks with checkpoints run again once capacity is free
        When bob submits the bulk job B of "32 x 1 checkpoints"
        And ana submits the urgent job G of "2 x 8 gang"
        And 1 seconds pass
        And task 0.0.0 of G ends as done
        And 1 seconds pass
        Then 32 tasks of B run

    Scenario: A guaranteed step with a limit per worker preempts on workers without its tasks
        When bob submits the bulk job B of "28 x 1"
        And ana submits the urgent job G of "4 x 2 spread"
        And 1 seconds pass
        Then 4 tasks of G run

    Scenario: A guaranteed job keeps the workers that it has preempted while their runs end
        Given the workers take 0.5 seconds to stop a run
        When bob submits the bulk job B of "32 x 1"
        And 1 second passes
        And ana submits the urgent job G of "1 x 8"
        And 0.1 seconds pass
        And ana submits the urgent job H of "2 x 1"
        And 2 seconds pass
        Then 1 task of G run
        And 2 tasks of H run
        And 22 tasks of B run
        And 32 runs of B were started

    Scenario: A guaranteed job does not preempt again while cheaper runs begin elsewhere
        Given the workers take 0.9 seconds to stop a run
        When bob submits the bulk job B of "4 x 8"
        And 2 seconds pass
        And ana submits the urgent job G of "1 x 8"
        And ana submits the urgent job H of "4 x 2 gang one-rack"
        And 1.5 seconds pass
        Then 1 task of G run
        And 4 tasks of H run
        And 2 tasks of B run
        And 4 runs of B were started
