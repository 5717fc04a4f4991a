Feature: Run times are forecast from the runs of similar steps

    Scenario: Without runs, the estimate is the median
        Then the median for "queue q, customer ana, image a, estimate 2000" is 2000 ms, give or take 0 percent
        And the high quantile for "queue q, customer ana, image a, estimate 2000" is 1.8 times the median

    Scenario: The kind of a step decides once it has runs
        When 30 runs of "queue q, customer ana, image a, estimate 2000" take 6000 ms
        And 30 runs of "queue q, customer ana, image b, estimate 2000" take 1000 ms
        Then the median for "queue q, customer bob, image a, estimate 2000" is 6000 ms, give or take 15 percent
        And the median for "queue q, customer bob, image b, estimate 2000" is 1000 ms, give or take 15 percent

    Scenario: A kind without runs falls back to its customer
        When 30 runs of "queue q, customer ana, image a, estimate 2000" take 6000 ms
        And 30 runs of "queue q, customer bob, image b, estimate 2000" take 2000 ms
        Then the median for "queue q, customer ana, image c, estimate 2000" is 6000 ms, give or take 25 percent

    Scenario: A customer without runs falls back to the queue, and a queue without runs to the estimate
        When 30 runs of "queue q, customer ana, image a, estimate 2000" take 6000 ms
        Then the median for "queue q, customer bob, image c, estimate 2000" is 6000 ms, give or take 25 percent
        And the median for "queue r, customer ana, image a, estimate 2000" is 2000 ms, give or take 0 percent

    Scenario: A step without an estimate takes the usual run time of its queue
        When 10 runs of "queue q, customer ana, image a, estimate 2000" take 6000 ms
        Then the median for "queue q, customer bob, image c, estimate 0" is 6000 ms, give or take 5 percent

    Scenario: A few stragglers change the high quantile rather than the median
        When 60 runs of "queue q, customer ana, image a, estimate 2000" take 2000 ms, every 33rd of them 14000 ms
        Then the median for "queue q, customer ana, image a, estimate 2000" is 2000 ms, give or take 8 percent

    Scenario: The high quantile covers nine of ten runs
        When 600 runs of "queue q, customer ana, image a, estimate 2000" take 2000 ms, every 5th of them 4000 ms
        Then the high quantile for "queue q, customer ana, image a, estimate 2000" is 2 times the median

    Scenario: A shift of the load is followed
        When 200 runs of "queue q, customer ana, image a, estimate 2000" take 2000 ms
        And 60 runs of "queue q, customer ana, image a, estimate 2000" take 5000 ms
        Then the median for "queue q, customer ana, image a, estimate 2000" is 5000 ms, give or take 20 percent

    Scenario: The number of kinds is bounded, and frequent kinds stay
        When 30 runs of "queue q, customer ana, image a, estimate 2000" take 6000 ms
        And 1 run each of 1000 kinds takes 2000 ms
        Then at most 256 kinds are kept
        And the median for "queue q, customer ana, image a, estimate 2000" is 6000 ms, give or take 35 percent
