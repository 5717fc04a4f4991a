Feature: Run times are learned from the runs of healthy workers

    Background:
        Given a fleet of 4 workers with an owner

    Scenario: A machine whose run takes longer than its siblings counts as slow
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        Then only w3 counts as slow

    Scenario: The progress of a gang's members shows the slow machine, although all members end together
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as a gang
        Then only w3 counts as slow

    Scenario Outline: Nothing is learned about a machine from runs <condition>
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 <condition>
        Then no worker counts as slow or fast

        Examples:
            | condition                          |
            | that fill idle capacity            |
            | that are paced                     |
            | that resume from a checkpoint      |
            | away from their data               |
            | as a one-rack gang in two racks    |
            | that begin on cold workers         |
            | that last until they are cancelled |

    Scenario: Nothing is learned from a run that is stopped
        When tasks that take 4, 4, 4, 900 seconds run on w0 to w3 and the last one is cancelled
        Then no worker counts as slow or fast

    Scenario: The run time of a gang is divided by the relative run time of its slowest member
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as a gang
        Then the median of the observed run times is between 3.5 and 5.5 seconds

    Scenario: A restarted worker and a new worker on a known machine keep the machine's relative run time
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And the worker w3 restarts and registers
        Then only w3 counts as slow
        When the worker w3 is replaced by w9 at its address, and both are listed
        Then w9 counts as slow
        When 1 worker joins the fleet
        And 1 second passes
        Then the relative run time of the worker that joined is 1

    Scenario: A machine that was slow is used again after it has no evidence for long
        When tasks that take 4, 4, 4, 8 seconds run on w0 to w3 as independent tasks
        And 900 seconds pass on the clock of the learned run times
        Then no worker counts as slow or fast
