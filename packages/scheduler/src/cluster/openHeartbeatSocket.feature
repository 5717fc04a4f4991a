Feature: A daemon exchanges heartbeats by datagrams as soon as its port is free

    Scenario: A port that its predecessor closes late is bound once it is free
        Given a daemon whose port for heartbeats is in use
        Then the daemon exchanges heartbeats by RPC
        When the port for heartbeats becomes free
        And 1 second passes for the port for heartbeats
        Then the daemon exchanges heartbeats by datagrams

    Scenario: A daemon that is closed no longer waits for its port
        Given a daemon whose port for heartbeats is in use
        When the daemon closes its socket for heartbeats
        And the port for heartbeats becomes free
        And 2 seconds pass for the port for heartbeats
        Then the daemon exchanges heartbeats by RPC
