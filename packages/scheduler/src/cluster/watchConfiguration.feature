Feature: The newest configuration is in force and never reverts

    Background:
        Given a daemon with a store

    Scenario: A change in the store comes into force
        Given the store holds configuration 3
        When the daemon watches the configuration
        Then configuration 3 is in force
        When the store holds configuration 5 later
        Then configuration 5 is in force

    Scenario: An older configuration from a peer changes nothing
        Given the store holds configuration 5
        When the daemon watches the configuration
        And a peer offers configuration 4
        Then configuration 5 is in force

    Scenario: A newer configuration from a peer is not undone by the store's older one
        Given the store holds configuration 5
        When a peer offers configuration 7
        And the daemon watches the configuration
        Then configuration 7 is in force

    Scenario: What cannot be read leaves the one in force
        Given the store holds configuration 5
        When the daemon watches the configuration
        And the store holds configuration nonsense later
        Then configuration 5 is in force

    Scenario: A value that is older than the kept history is read once and then watched
        Given the store holds configuration 3
        And its history is dropped
        When the daemon watches the configuration
        Then configuration 3 is in force
        And the store was listed 1 time
        And no watch has asked for dropped history

    Scenario: An owner that took over before the kept history is watched from now on
        Given the store holds an owner
        And its history is dropped
        When the daemon follows the ownership
        Then the owner is known
        And no watch has asked for dropped history
