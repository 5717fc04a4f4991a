Feature: A worker whose registration is overwritten keeps its runs, and gets starts again when it is listed again

    Scenario: The registration of a worker with runs is overwritten by one that describes no worker
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "2 x 2"
        And the worker w0 is not listed
        And 1 second passes
        Then 2 tasks of J run
        When the worker w0 is listed again
        And ana submits the normal job K of "2 x 2"
        And 1 second passes
        Then 2 tasks of J run
        And 2 tasks of K run
        And task 0.0.0 of J was started 1 time

    Scenario Outline: The entry of a worker with runs is overwritten by one with <address>
        Given a fleet of 3 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And the entry of w0 is overwritten by one at <at>
        And 12 seconds pass while all runs make progress
        Then 2 tasks of J run
        And task 0.0.0 of J was started 1 time
        And task 0.0.1 of J was started 1 time
        And each task of J runs at most once
        When the entry of w0 is restored
        And ana submits the normal job K of "1 x 8"
        And 1 second passes
        Then 1 task of K runs
        And each task of J runs at most once

        Examples:
            | address                     | at            |
            | another address             | 10.9.9.9:80   |
            | the address of a sound worker | 10.0.0.2:80 |

    Scenario: The entry of a worker with runs is overwritten while its owner dies
        Given a fleet of 3 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And the entry of w0 is overwritten by one at 10.9.9.9:80
        And the owner dies
        And a new owner takes over
        And 2 seconds pass
        Then 2 tasks of J run
        And task 0.0.0 of J was started 1 time
        And each task of J runs at most once

    Scenario: An entry under another id has the address of a worker with runs
        Given a fleet of 2 workers with an owner
        When ana submits the normal job J of "2 x 8"
        And an entry odd is written at 10.0.0.1:80
        And 12 seconds pass while all runs make progress
        Then 2 tasks of J run
        And task 0.0.0 of J was started 1 time
        And task 0.0.1 of J was started 1 time
        And the connections to w0 stay open
        When the owner dies
        And a new owner takes over
        And task 0.0.0 of J ends as done
        And ana submits the normal job K of "1 x 8"
        And 1 second passes
        Then 1 task of K runs
