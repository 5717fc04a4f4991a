Feature: Stragglers get a speculative copy if their job allows it

    Background:
        Given a fleet of 2 workers with an owner

    Scenario: A straggler and its copy run in parallel until one of them is done
        When ana submits the normal job J of "1 x 2 copies"
        And 3 seconds pass
        And task 0.0.0 of J is 10 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 20 percent done
        And 2 seconds pass
        Then task 0.0.0 of J was started 2 times
        And 2 tasks of J run
        When task 0.0.0 of J ends as done
        And 1 second passes
        Then the job J is completed
        And 0 tasks of J run

    Scenario: A straggler that is nearly done is not copied
        When ana submits the normal job J of "1 x 2 copies"
        And 3 seconds pass
        And task 0.0.0 of J is 40 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 80 percent done
        And 2 seconds pass
        Then task 0.0.0 of J was started 1 time

    Scenario: A straggler of a job that allows no copies is not copied
        When ana submits the normal job J of "1 x 2"
        And 3 seconds pass
        And task 0.0.0 of J is 10 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 20 percent done
        And 2 seconds pass
        Then task 0.0.0 of J was started 1 time

    Scenario: Waiting tasks are placed before copies
        When ana submits the normal job J of "1 x 2 copies"
        And ana submits the normal job K of "2 x 8 gang"
        And 3 seconds pass
        And task 0.0.0 of J is 10 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 20 percent done
        And 2 seconds pass
        Then task 0.0.0 of J was started 1 time

    Scenario: A new owner keeps only one run of a copied task
        When ana submits the normal job J of "1 x 2 copies"
        And 3 seconds pass
        And task 0.0.0 of J is 10 percent done
        And 3 seconds pass
        And task 0.0.0 of J is 20 percent done
        And 2 seconds pass
        And the owner dies
        And a new owner takes over
        And 1 second passes
        Then 1 task of J runs

    Scenario Outline: A run is compared with the usual run time on its own worker
        Given a step whose runs usually take 4 seconds on a typical worker
        When one has run for <seconds> seconds on a worker that takes <factor> times as long, and is <percent> percent done
        Then it <verdict>

        Examples:
            | seconds | factor | percent | verdict            |
            | 7       | 1      | 20      | is a straggler     |
            | 7       | 2      | 20      | is not a straggler |
            | 13      | 2      | 20      | is a straggler     |
            | 13      | 2      | 80      | is not a straggler |
            | 4       | 0.6    | 20      | is a straggler     |
