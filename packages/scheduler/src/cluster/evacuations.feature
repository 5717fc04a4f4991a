# Guards against daemons that do not know of an evacuation, or that use a data centre less than they may.
Feature: A daemon follows the evacuations of data centres with the calls that follow the configuration

    Background:
        Given a daemon with a store
        And the store holds configuration 3

    Scenario: Evacuations begin and end with their keys, and cost no additional lists
        When the daemon watches the configuration
        And the evacuation of north is requested with the value "{}"
        And the evacuation of south is requested with the value "{}"
        Then the data centres "north, south" are evacuated
        When the request to evacuate north is removed
        Then the data centres "south" are evacuated
        And the gauges of the evacuated data centres match their snapshot
        And the store was listed 1 time
        When configuration 5 is written to the store
        Then configuration 5 is in force

    Scenario: A request counts by its key even if its value cannot be read
        Given the evacuation of north is requested with the value "nonsense"
        When the daemon watches the configuration
        And the evacuation of south is requested with the value ""
        Then the data centres "north, south" are evacuated

    Scenario: The store drops its history while its watches show no changes
        When the daemon watches the configuration
        And the watches of the store stay silent
        And the evacuation of north is requested with the value "{}"
        And the store compacts its history
        Then the data centres "north" become evacuated

    Scenario: The owner reads evacuations that begin and end unseen by its watches
        Given the daemon knows itself as the owner
        When the daemon watches the configuration, and the watches leave out changes
        And the evacuation of north is requested with the value "{}"
        And 2000 ms pass
        Then the data centres "north" are evacuated
        When the request to evacuate north is removed
        And 2000 ms pass
        Then the data centres "" are evacuated

    Scenario: A daemon that is cut off from the store follows the evacuations through a peer
        Given the evacuation of north is requested with the value "{}"
        And the daemon cannot reach the store
        And a peer that reaches the store
        When the daemon watches the configuration through the relaying store, which cannot be reached
        Then the data centres "north" become evacuated
        When the evacuation of south is requested with the value "{}"
        Then the data centres "north, south" become evacuated
        When the request to evacuate north is removed
        Then the data centres "south" become evacuated

    Scenario: A daemon that no longer reaches the store keeps the evacuations that it knows
        When the daemon watches the configuration
        And the evacuation of north is requested with the value "{}"
        And the store goes down under the watch
        Then the data centres "north" are evacuated
        When the store answers again, without the request to evacuate north
        Then the data centres "" become evacuated

    Scenario: Answers of the store that arrive out of order change nothing
        When the daemon learns, in this order:
            | answer  | revision | data centres |
            | list    | 10       | north        |
            | request | 12       | south        |
            | removal | 13       | north        |
            | list    | 11       | north        |
        Then the data centres "south" are evacuated
        When the daemon learns, in this order:
            | answer  | revision | data centres |
            | list    | 20       | south        |
            | request | 12       | north        |
            | removal | 19       | south        |
            | list    | 14       | north        |
        Then the data centres "south" are evacuated
