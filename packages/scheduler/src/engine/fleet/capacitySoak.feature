Feature: Capacities that shrink and grow beside lost orders, restarts and takeovers

    Scenario: Random changes of capacities bring a worker over its capacity, or keep a job waiting
        When random changes of capacities are played for the seeds 1 to 16
        Then no seed brought a worker over a capacity that the owner knew
        And no seed left a job waiting on workers with their full capacity
        And the owner counts as free what the runs of each worker leave
