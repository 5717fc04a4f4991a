Feature: The terms of a queue are stored with its jobs

    Scenario: The terms of all queues are the same after they are stored and read
        Then the terms of each queue are read as they were stored

    Scenario: Stored terms that another client has changed are not used
        Then no terms are read from odd records
