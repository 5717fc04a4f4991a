Feature: Daemons exchange heartbeats by datagrams

    Background:
        Given two daemons that exchange heartbeats by datagrams

    Scenario: Each daemon hears from the other
        When the first exchanges heartbeats with the second
        Then each has heard from the other
        And the exchanges of the first are "datagram answered"

    Scenario: A newer configuration is fetched from the daemon that has it
        Given the second has a newer configuration
        When the first exchanges heartbeats with the second
        Then the first has fetched the configuration

    Scenario: One lost datagram causes no call, a second one does
        Given datagrams to the second are lost
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram unanswered"
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram unanswered, exchange done"
        And each has heard from the other

    Scenario: An owner that does not answer a datagram is called at once
        Given datagrams to the second are lost
        And the second is the owner
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram unanswered, exchange done"

    Scenario: A dead owner is found although datagrams to it only go unanswered
        Given datagrams to the second are lost
        And the second is the owner
        And calls to the second are refused
        When the first exchanges heartbeats with the second
        And the first exchanges heartbeats with the second
        Then the first takes the owner to be dead

    Scenario: A heartbeat that does not fit in a datagram is fetched by a call
        Given the second is the owner, with jobs in 200 queues
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram too-large, exchange done"
        And the first knows the depths of 200 queues

    Scenario: An answer that comes too late is dropped
        Given answers of the second are held back
        When the first exchanges heartbeats with the second
        And the second's answers arrive
        Then the exchanges of the first are "datagram unanswered"
        And the first has not heard from the second

    Scenario: An answer from another address is dropped
        Given answers of the second come from another address
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram unanswered"
        And the first has not heard from the second

    Scenario: A malformed datagram is dropped
        When the first receives a malformed datagram
        And the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram malformed, datagram answered"

    Scenario: Datagrams are exchanged over sockets
        Given the two daemons have sockets
        When the first exchanges heartbeats with the second
        Then each has heard from the other
        And the exchanges of the first are "datagram answered"

    Scenario: A daemon whose port for heartbeats is taken exchanges them by calls
        Given the port of the first is taken
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "exchange done"

    Scenario: A daemon that has closed its socket exchanges heartbeats by calls
        Given the socket of the first is closed
        And the second is the owner
        When the first exchanges heartbeats with the second
        Then the exchanges of the first are "datagram unanswered, exchange done"
