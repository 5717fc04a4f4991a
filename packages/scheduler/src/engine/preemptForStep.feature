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
