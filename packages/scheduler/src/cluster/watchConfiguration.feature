Feature: The newest configuration is in force and never reverts to an older one

    Background:
        Given a daemon with a store

    Scenario: A change in the store comes into force
        Given the store holds configuration 3
        When the daemon watches the configuration
        Then configuration 3 is in force
        When configuration 5 is written to the store
        Then configuration 5 is in force

    Scenario: An older configuration from a peer changes nothing
        Given the store holds configuration 5
        When the daemon watches the configuration
        And a peer offers configuration 4
        Then configuration 5 is in force

    Scenario: An older configuration in the store does not replace a newer one from a peer
        Given the store holds configuration 5
        When a peer offers configuration 7
        And the daemon watches the configuration
        Then configuration 7 is in force

    Scenario: A configuration that cannot be decoded leaves the current one in force
        Given the store holds configuration 5
        When the daemon watches the configuration
        And configuration nonsense is written to the store
        Then configuration 5 is in force

    Scenario: A configuration that causes an unexpected error of the decoder is passed over, and later ones are not
        Given the store holds configuration 5
        When the daemon watches the configuration
        And configuration 13 is written to the store
        Then configuration 5 is in force
        When configuration 14 is written to the store
        Then configuration 14 is in force

    Scenario: A configuration that is older than the retained history is listed once and then watched
        Given the store holds configuration 3
        And the store compacts its history
        When the daemon watches the configuration
        Then configuration 3 is in force
        And the store was listed 1 time
        And no watch has requested compacted history

    Scenario: An owner's record that is older than the retained history is watched from the current revision
        Given the store holds an owner's record
        And the store compacts its history
        When the daemon watches the ownership
        Then the owner is known
        And no watch has requested compacted history

    Scenario: A term's record and its owner's record differ in their revisions
        When the daemon watches the ownership
        Then the term's record has the revision of the owner's record

    Scenario: A configuration is as old as the last answer of the store
        Given the store holds configuration 3
        When the daemon watches the configuration
        Then the age of the configuration is 0 ms
        When 400 ms pass
        Then the age of the configuration is 400 ms
        When configuration 5 is written to the store
        # The watch was answered at an unknown time after it was sent.
        Then the age of the configuration is 400 ms
        When 100 ms pass
        And configuration 6 is written to the store
        Then the age of the configuration is 100 ms

    # CONFIG: calls were refused with a retry time for want of an answer that was not due yet.
    Scenario: After a change the configuration seems too old to refuse calls, though the store answers all watches
        Given the store holds configuration 3
        When the daemon watches the configuration, which changes 900 ms into a watch, and answers take 150 ms
        Then the configuration is at most 2000 ms old for 5000 ms

    Scenario: A change is in force after the store's connection has gone silent, though peers do not answer either
        Given the store holds configuration 3
        And a peer that reaches the store and answers no calls
        When the daemon watches the configuration through the relaying store
        And configuration 5 is written to the store, and the answer to the watch is lost
        Then configuration 5 comes into force

    Scenario: Heartbeats that name a new version while it is fetched do not start further fetches
        Given the store holds configuration 3
        And a peer that answers fetches of its configuration when it is told to
        When the daemon watches the configuration
        And 3 heartbeats of the peer name configuration 5
        Then the peer has received 1 fetch
        When the peer answers with configuration 5
        Then configuration 5 is in force
        And the peer has received 1 fetch

    Scenario: A version that a heartbeat names while an older one is fetched is fetched next
        Given the store holds configuration 3
        And a peer that answers fetches of its configuration when it is told to
        When the daemon watches the configuration
        And 1 heartbeat of the peer names configuration 5
        And 1 heartbeat of the peer names configuration 6
        And the peer answers with configuration 5
        Then the peer has received 2 fetches
        When the peer answers with configuration 6
        Then configuration 6 is in force

    Scenario: A configuration that cannot be decoded is counted once, however often it is read
        Given the store holds configuration 5
        When the daemon watches the configuration
        And configuration nonsense is written to the store
        And a peer offers configuration nonsense
        Then 1 ignored configuration is counted
        When configuration 6 is written to the store
        Then configuration 6 is in force

    # CONFIG: a version was missed by all daemons until the next one was written.
    Scenario: A change that the store's watches leave out is not in force in time
        Given the store holds configuration 3
        And the daemon knows itself as the owner
        When the daemon watches the configuration, and the watches leave out changes
        And configuration 5 is written to the store
        And 2000 ms pass
        Then configuration 5 is in force

    Scenario: Daemons other than the owner do not read the configuration again while they watch it
        Given the store holds configuration 3
        When the daemon watches the configuration, and the watches leave out changes
        And 5000 ms pass
        Then the store was listed 1 time

    Scenario: The owner does not read the configuration again for each change
        Given the store holds configuration 3
        And the daemon knows itself as the owner
        When the daemon watches the configuration
        And configuration 4 is written to the store
        And configuration 5 is written to the store
        Then the store was listed 1 time

    Scenario: A peer that claims the largest version without having it does not keep newer ones out of force
        Given the store holds configuration 3
        And a peer that answers fetches of its configuration when it is told to
        When the daemon watches the configuration
        And 1 heartbeat of the peer names configuration 9007199254740991
        And the peer answers with the text of configuration 2 as configuration 9007199254740991
        And configuration 5 is written to the store
        Then configuration 5 is in force
        And the peer has received 1 fetch
