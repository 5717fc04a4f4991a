Feature: A new owner waits until the leases that its predecessor extended have ended

    Scenario Outline: A suspended owner extends a lease after it wakes, and its successor starts the task too
        Given a fleet of 4 workers with an owner
        When ana submits the normal job J of "1 x 8 lasting"
        And 1 second passes
        And the owner is suspended, and its clock <clock>
        And 1 second passes
        And a new owner takes over that cannot reach the worker of task 0.0.0 of J
        And 4 seconds pass
        And the first owner wakes, and resigns after 1 second
        And 12 seconds pass
        Then no task has had two runs at the same time
        And 1 task of J runs

        Examples:
            | clock   |
            | stops   |
            | runs    |

    Scenario: An owner that is suspended before its first renewal extends a lease after it wakes
        Given a fleet of 4 workers with an owner
        When the owner is suspended, and its clock stops
        And 2 seconds pass
        And a new owner takes over that cannot reach w0
        And 1.5 seconds pass
        And ana submits the normal job J of "1 x 8 lasting" through a daemon that stores no term
        And the first owner wakes, and resigns after 1.8 seconds
        Then task 0.0.0 of J was started 0 times
        When 8 seconds pass
        Then no task has had two runs at the same time
        And 1 task of J runs

    Scenario: An owner that is suspended before its first renewal extends the lease of a run after it wakes
        Given a fleet of 4 workers with an owner
        When ana submits the normal job J of "1 x 8 lasting" through a daemon that stores no term
        And the owner is suspended, and its clock stops
        And 2 seconds pass
        And a new owner takes over that cannot reach the worker of task 0.0.0 of J
        And 1.5 seconds pass
        And the first owner wakes, and resigns after 1.8 seconds
        Then task 0.0.0 of J was started 1 time
        When 10 seconds pass
        Then no task has had two runs at the same time
        And 1 task of J runs

    Scenario: The lease of a task on a slow clock outlasts its successor's wait after the worker was idle
        Given a fleet of 4 workers with slow clocks and an owner
        When 150 seconds pass
        And ana submits the normal job J of "1 x 8"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 12 seconds pass
        Then no task has had two runs at the same time
        And 1 task of J runs

    Scenario: An unexpected error while a worker's answer is handled does not end the renewals of its lease
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 2"
        And the answer to the next hold causes an unexpected error
        And 15 seconds pass while all runs make progress
        Then 1 task of J runs
        And task 0.0.0 of J was started 1 time

    Scenario: A start reaches a worker that has restarted unnoticed, and the task runs twice once its lease counts as ended
        Given a fleet of 1 workers with an owner
        When 20 seconds pass
        And the worker w0 restarts
        And the answers to the next 1000 holds of w0 are lost
        And the next orders to w0 hit the faults "lost-answer unanswered unanswered unanswered unanswered unanswered"
        And ana submits the normal job J of "1 x 8"
        And the worker of task 0.0.0 of J is disconnected
        And 1 worker joins the fleet
        And 12 seconds pass while all runs make progress
        Then no task has had two runs at the same time

    # TWICE: the answer to a start came from an incarnation that the owner did not know, which then fell silent.
    Scenario: A start is answered by a worker that has restarted unnoticed, and the task runs twice
        Given a fleet of 1 workers with an owner
        When 20 seconds pass
        And the worker w0 restarts
        And the answers to the next 1000 holds of w0 are lost
        And ana submits the normal job J of "1 x 8"
        And the worker of task 0.0.0 of J is disconnected
        And 1 worker joins the fleet
        And 12 seconds pass while all runs make progress
        Then no task has had two runs at the same time
        And 1 task of J runs

    # TWICE: the same, but the owner that sent the start is dead, and its successor waited for shorter leases only.
    Scenario: An earlier owner's start reached a worker that had restarted unnoticed, and the task runs twice
        Given a fleet of 1 workers with an owner
        When 20 seconds pass
        And the worker w0 restarts
        And the answers to the next 1000 holds of w0 are lost
        And ana submits the normal job J of "1 x 8"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And 1 worker joins the fleet
        And a new owner takes over
        And 13 seconds pass while all runs make progress
        Then no task has had two runs at the same time
        And 1 task of J runs

    # LOST: a task on a silent worker is placed again late. Only a start that nothing has shown may wait so long.
    Scenario: A task whose start the known incarnation has answered waits for the longest lease of any
        Given a fleet of 1 workers with an owner
        When ana submits the normal job J of "1 x 8"
        And 1 second passes
        And the worker of task 0.0.0 of J is disconnected
        And 1 worker joins the fleet
        And 8 seconds pass while all runs make progress
        Then 1 task of J runs

    # LOST: a task beside others was suspected as the only one that ran when its worker crashed.
    Scenario: Runs of a crashed worker that are released one after the other count as crashes with one run each
        Given a fleet of 1 workers with an owner
        When 5 seconds pass
        And ana submits the normal job J of "1 x 2"
        And 1 second passes
        And the next orders to w0 hit the faults "lost-answer unanswered"
        And ana submits the normal job K of "1 x 2"
        And the worker of task 0.0.0 of K is disconnected
        And 12 seconds pass while all runs make progress
        And the worker w0 restarts
        And the disconnected worker is reachable again
        And 1 second passes
        Then the counted crashes match the snapshot
