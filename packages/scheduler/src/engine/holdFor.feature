Feature: Workers are kept free for gangs that they can hold soon

    Scenario: Small work of less urgency does not take the room that a gang waits for
        Given a fleet of 2 workers with an owner
        When bob submits the normal job A of "1 x 8"
        And bob submits the normal job B of "1 x 8"
        And 3 seconds pass
        And bob submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of A ends as done
        And bob submits the bulk job S of "4 x 1"
        Then 0 tasks of S run
        When task 0.0.0 of B ends as done
        Then 2 tasks of G run

    Scenario: Work goes on where the room for a gang comes too late
        Given a fleet of 2 workers with an owner
        When bob submits the normal job A of "1 x 8"
        And bob submits the normal job B of "1 x 8 lasting"
        And bob submits the normal job G of "2 x 8 gang"
        And task 0.0.0 of A ends as done
        And bob submits the bulk job S of "4 x 1"
        Then 4 tasks of S run
