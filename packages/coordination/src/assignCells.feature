Feature: Assigning cells to daemons

    Scenario: The loads are bounded and a death moves few cells
        Given 69 cells and 7 daemons
        Then no daemon owns more than 13 cells
        And the death of any daemon moves at most 10 cells that it did not own
        And the order in which members are known changes nothing

    Scenario: A paused holder does not trust its lease when it wakes
        Given a lease of 5000 ms that is renewed every 1500 ms
        When its holder runs for 10000 ms
        Then the lease is valid
        When its holder is paused for 6000 ms
        Then the lease is not valid
        When its holder runs for 4000 ms
        Then the holder has a new lease that is valid
