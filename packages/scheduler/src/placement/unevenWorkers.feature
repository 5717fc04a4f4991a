Feature: Workers are chosen by their speed where speeds differ

    Scenario: Workers of equal speed are chosen as without speeds
        Then the choice is the best fit, for random fleets of one band

    Scenario: No task gets a worker that is too slow while one that is fast enough has room
        Then fast enough workers are used up first, for random fleets and limits

    Scenario: Each job gets the slowest workers on which it ends in time
        Given a fleet of 12 workers with an owner
        And the workers take 0.6, 1.0 and 1.65 times the usual time in turn
        And the queue urgent has the stretch 1.5 and the objective 250 ms
        When ana submits the urgent job U of "2 x 8 gang one-rack"
        Then the tasks of U run on workers that take "0.6, 0.6"
        When bob submits the normal job G of "3 x 8 gang"
        Then the tasks of G run on workers that take "1.65, 1.65, 1.65"
        When bob submits the bulk job B of "3 x 8"
        Then the tasks of B run on workers that take "1, 1, 1.65"

    Scenario: A job takes slow workers at once when the fast ones are in use
        Given a fleet of 6 workers with an owner
        And the workers take 0.6, 1.0 and 1.65 times the usual time in turn
        And the queue urgent has the stretch 1.5 and the objective 250 ms
        When bob submits the urgent job A of "1 x 8"
        And bob submits the urgent job B of "2 x 8 gang"
        Then the tasks of B run on workers that take "1, 1"

    Scenario Outline: A job that has waited gets faster workers, until it cannot end in time any more
        Given a fleet of 6 workers with an owner
        And the workers take 0.6, 1.0 and 1.65 times the usual time in turn
        When bob submits the bulk job A of "6 x 8"
        And bob submits the normal job G of "2 x 8 gang"
        And <wait> seconds pass while all runs make progress
        And the tasks 0.0.0, 0.0.1, 0.0.2, 0.0.3, 0.0.4, 0.0.5 of A end as done, done, done, done, done, done
        Then the tasks of G run on workers that take "<speeds>"

        Examples:
            | wait | speeds     |
            | 1    | 1.65, 1.65 |
            | 6    | 1, 1       |
            | 9    | 0.6, 0.6   |
            | 14   | 1.65, 1.65 |
            | 40   | 0.6, 0.6   |
            | 45   | 1.65, 1.65 |

    Scenario: The members of a gang get workers of one speed, since it ends with the slowest
        Given a fleet of 6 workers with an owner
        And the workers take 0.6, 1.0 and 1.65 times the usual time in turn
        When bob submits the bulk job B of "1 x 8"
        And bob submits the normal job G of "2 x 8 gang"
        Then the tasks of B run on workers that take "1.65"
        And the tasks of G run on workers that take "1, 1"

    Scenario: A step that runs on and on is placed by best fit, since no worker ends it in time
        Given a fleet of 6 workers with an owner
        And the workers take 0.6, 1.0 and 1.65 times the usual time in turn
        When bob submits the normal job A of "1 x 4"
        And bob submits the normal job S of "1 x 4 lasting"
        And bob submits the normal job T of "1 x 8 lasting"
        Then the tasks of S run on workers that take "1.65"
        And the tasks of T run on workers that take "0.6"

    Scenario: Workers near the data come before workers that are fast enough
        Given a fleet of 12 workers with an owner
        And the workers take 0.6, 1.0 and 1.65 times the usual time in turn
        And the queue urgent has the stretch 1.5 and the objective 250 ms
        When ana submits the urgent job D of 4 tasks with their data in the rack r0
        Then the tasks of D run on workers that take "0.6, 0.6, 1, 1.65"

    Scenario Outline: A gang that needs one rack compares its slowest members, then the capacity that is lost
        Given racks with the free accelerators and relative run times "<racks>"
        Then a gang of two tasks with 2 accelerators and the limit 1.4 chooses the rack <rack>

        Examples:
            | racks                           | rack |
            | 8@1 8@1; 8@1.65 8@1.65          | r0   |
            | 8@0.6 8@0.6; 8@1 8@1            | r1   |
            | 2@1.65 2@2; 2@2 2@2             | r0   |
            | 8@1 8@0.6; 2@1 2@1 8@0.6 8@0.6  | r1   |
            | 2@1 2@1 8@1; 6@1 2@0.6          | r0   |
