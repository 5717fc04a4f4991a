Feature: The relative run times of machines are learned from the runs of one step on several of them

    Scenario: A few finished runs separate three groups of machines
        Given 245 machines that take 0.6, 1, 1.65 times the usual run time
        When the load of the uneven fleet is replayed for 10 seconds
        Then 95 percent of the machines with at least 3 runs are in the right group
        And the mean of all machines is 1
        When the load of the uneven fleet is replayed for 30 seconds
        Then 97 percent of all machines are in the right group
        And the mean of all machines is 1

    Scenario: The progress of running tasks separates the machines before the first run ends
        Given 39 machines that take 0.6, 1, 1.65 times the usual run time
        When 3 wide steps have run on all machines, and none of their runs has ended
        Then 95 percent of all machines are in the right group

    Scenario: Equal machines keep about the same relative run time
        Given 245 machines that take 1 times the usual run time
        When the load of the uneven fleet is replayed for 20 seconds
        Then the relative run times of all machines differ from 1 by at most 25 percent
        When the load of the uneven fleet is replayed for 40 seconds
        Then the relative run times of all machines differ from 1 by at most 14 percent

    Scenario: A machine that is no longer slow is found to be so while it is used
        Given 60 machines that take 1, 1, 1.65 times the usual run time
        When the load of the uneven fleet is replayed for 60 seconds
        And all machines become equal
        And the load of the uneven fleet is replayed for 60 seconds
        Then the relative run times of all machines differ from 1 by at most 14 percent

    Scenario: A slow machine that is not used counts as a typical one after some time
        Given 60 machines that take 1, 1, 1.65 times the usual run time
        When the load of the uneven fleet is replayed for 60 seconds
        And 15 minutes pass without a run
        Then the relative run times of all machines differ from 1 by at most 10 percent

    Scenario: A machine that reports impossible progress does not change the others
        Given 60 machines that take 0.6, 1, 1.65 times the usual run time
        When the first machine shows run times of a millisecond and of a day by turns
        And the load of the uneven fleet is replayed for 60 seconds
        Then 97 percent of all machines are in the right group

    Scenario: A machine without evidence counts as a typical one
        Given 3 machines that take 1.65 times the usual run time
        Then the relative run times of all machines differ from 1 by at most 0 percent
        When the runs of a step on one machine are recorded
        Then the relative run times of all machines differ from 1 by at most 35 percent
