Feature: A daemon hears from a new owner at once

    Scenario: Heartbeats with a new owner begin without waiting for the long interval of a large cluster
        Given a daemon with 40 peers, of which one is reachable and has answered
        When the reachable peer becomes the owner
        Then the daemon exchanges heartbeats with it within 1 second
