Feature: Planning placements under guarantees

    Scenario: Guarantees stay reclaimable through random work and failures
        When 300 random sequences of submissions, ends, worker failures and returns are run
        Then after every step no accelerator is held twice
        And after every step the slots of guarantees are apart, and healthy or reported as short
        And after every step each guarantee with a slot is reclaimed from borrowers alone
        And while every worker is healthy no guarantee is short

    Scenario: A borrower does not stop work of the same urgency
        Given a cell of 2 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When "b" borrows 2 workers at urgency 2
        And "c" asks for 1 worker at urgency 2
        Then the last plan is refused with "no-free-accelerators"

    Scenario: An urgent borrower stops less urgent borrowers only
        Given a cell of 2 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When "b" borrows 2 workers at urgency 2
        And "c" asks for 1 worker at urgency 4
        Then the last plan stops "job-1"

    Scenario: A customer reclaims its guarantee in a full cell
        Given a cell of 2 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When "b" borrows 2 workers at urgency 4
        And "a" asks for 1 worker at urgency 1
        Then the last plan stops "job-1"

    Scenario: A gang takes the tightest part of the cell that holds it
        Given a cell of 16 workers with 8 accelerators and a guarantee of 1 worker for "a"
        When gangs of many shapes are placed
        Then the placements are as in their snapshot
