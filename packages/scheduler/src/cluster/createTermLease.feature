Feature: An owner knows up to which time it certainly held the ownership

    Background:
        Given a daemon with a store
        And a lease of 2000 ms is requested

    Scenario: A lease counts as held when the answer to its renewal arrives
        When 700 ms pass
        And a renewal of the lease is answered after 1000 ms
        Then the lease was held 1000 ms ago

    Scenario: An overdue lease counts as held although a peer reaches the store
        When 2500 ms pass
        And 6 peers, 6 of them responsive, 1 of these reaching the store
        Then the lease was held 2500 ms ago

    Scenario: An overdue lease counts as lost although the store is away for everyone
        When 2500 ms pass
        And 6 peers, 6 of them responsive, 0 of these reaching the store
        Then the lease was held 1500 ms ago
