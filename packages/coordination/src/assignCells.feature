Feature: Cell assignment and lease validity

    Scenario: The number of cells per daemon is bounded and the failure of a daemon moves few cells
        Given 69 cells and 7 daemons
        Then no daemon owns more than 13 cells
        And the failure of any daemon moves at most 10 cells that it did not own
        And the order of the members does not change the assignment

    Scenario: A lease is invalid when its paused holder resumes
        Given a lease of 5000 ms that is renewed every 1500 ms
        When its holder runs for 10000 ms
        Then the lease is valid
        When its holder is paused for 6000 ms
        Then the lease is not valid
        When its holder runs for 4000 ms
        Then the holder has a new lease that is valid
