Feature: Planning placements under guarantees

    Scenario: Guarantees stay reclaimable during random operations and worker failures
        When 300 random sequences of submissions, job ends, worker failures and recoveries are run
        Then after every operation no accelerator is held by two jobs
        And after every operation the guarantee slots do not overlap, and each is healthy or reported as a shortfall
        And after every operation each unused guarantee with a slot can be reclaimed from borrowing jobs only
        And while every worker is healthy no guarantee has a shortfall

    Scenario: A borrowing job does not preempt jobs of the same urgency
        Given a cell of 2 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When "b" borrows 2 workers at urgency 2
        And "c" requests 1 worker at urgency 2
        Then the placement plan is refused with "no-free-accelerators"

    Scenario: An urgent borrowing job preempts only less urgent borrowing jobs
        Given a cell of 2 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When "b" borrows 2 workers at urgency 2
        And "c" requests 1 worker at urgency 4
        Then the placement plan preempts "job-1"

    Scenario: A customer reclaims its guarantee in a full cell
        Given a cell of 2 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When "b" borrows 2 workers at urgency 4
        And "a" requests 1 worker at urgency 1
        Then the placement plan preempts "job-1"

    Scenario: Gangs are placed in the best-fitting part of the cell
        Given a cell of 16 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When gangs of several shapes are placed
        Then the gang placements match the snapshot
