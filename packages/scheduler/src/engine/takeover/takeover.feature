Feature: A new owner continues where its predecessor stopped

    Background:
        Given a fleet of 4 workers with an owner

    Scenario: Running tasks are adopted rather than started again
        When ana submits the normal job J of "3 x 2"
        And the owner dies
        And a new owner takes over
        Then 3 tasks of J run
        And task 0.0.0 of J was started 1 time

    Scenario: A job that runs is shown as queued after a takeover
        When ana submits the normal job J of "2 x 2"
        And the owner dies
        And a new owner takes over
        Then the job J is running
        And 2 tasks of J run

    Scenario: A run end that the dead owner did not store is read from the worker
        When ana submits the normal job J of "1 x 2"
        And the owner dies
        And task 0.0.0 of J ends as done
        And a new owner takes over
        Then the job J is completed
        And task 0.0.0 of J was started 1 time

    Scenario: A stored failure that the worker still reports is counted once
        When ana submits the normal job J of "1 x 2"
        And the next store writes hit the faults "lost-answer"
        And task 0.0.0 of J ends as failed, and the owner dies once that is stored
        Then the workers have discarded 0 run ends
        When a new owner takes over
        Then the job J is running
        And 1 task of J runs
        And task 0.0.0 of J has run number 2

    Scenario: A task that may run on an unresponsive worker waits until its lease has ended
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        Then each task of J runs at most once
        And task 0.0.0 of J was started 1 time
        When 6 seconds pass
        Then each task of J runs at most once

    Scenario: A task on an unlisted worker is known from the stored roster
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And the disconnected worker is not listed
        And a new owner takes over
        Then task 0.0.0 of J was started 1 time

    Scenario: A job that is accepted after the takeover does not wait for an unresponsive worker
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And ana submits the normal job K of "1 x 2"
        Then 1 task of K runs

    Scenario: Inherited jobs wait anew for an unresponsive worker after each takeover in a series
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 4 seconds pass
        And the owner dies
        And a new owner takes over
        And 4 seconds pass
        And the owner dies
        And a new owner takes over
        Then task 0.0.0 of J was started 1 time
        When 4 seconds pass
        Then task 0.0.0 of J was started 2 times
        And each task of J runs at most once

    Scenario: A worker that answers after its bound was stored delays the next owner until its new lease has ended
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 4 seconds pass
        And the disconnected worker is reachable again
        And 3 seconds pass
        Then 1 task of J runs
        When the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 4 seconds pass
        Then task 0.0.0 of J was started 1 time
        And each task of J runs at most once
        When 8 seconds pass
        Then task 0.0.0 of J was started 2 times
        And each task of J runs at most once

    Scenario: The bound of a worker does not hold once an owner that does not know of it may have extended the lease
        When ana submits the normal job J of "1 x 2"
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 4 seconds pass
        And the owner dies
        And an owner of an earlier version has had a term since the roster was stored
        And a new owner takes over
        And 8 seconds pass
        Then task 0.0.0 of J was started 1 time
        When 4 seconds pass
        Then task 0.0.0 of J was started 2 times
        And each task of J runs at most once

    Scenario: Inherited jobs wait for a worker whose machine has a later one at another address
        When ana submits the normal job J of "1 x 2"
        And the owner dies
        And the worker of task 0.0.0 of J is followed on its machine by w9 at another address, born 1 ms later
        And a new owner takes over
        And 1 second passes
        Then 1 task of J runs

    Scenario Outline: A takeover waits for the lease of a silent worker although <doubt>
        When ana submits the normal job J of "1 x 2"
        And the owner dies
        And the worker of task 0.0.0 of J is followed on its machine by w9 at another address, born <later> ms later
        And a new owner takes over that cannot reach <silent>
        And 6 seconds pass
        Then 0 tasks of J run

        Examples:
            | doubt                                         | later | silent |
            | a later one that does not answer is listed    | 1     | w9     |
            | one that was not born later is on its machine | 0     | none   |

    Scenario: A replaced owner resigns when workers refuse its calls
        When ana submits the normal job J of "1 x 2"
        And a new owner takes over
        And 3 seconds pass
        Then the first owner has resigned
        And 1 task of J runs

    Scenario: Run numbers of a new owner are higher than those of its predecessor
        When ana submits the normal job J of "1 x 2"
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of J ends as failed
        Then task 0.0.0 of J has run number 1001

    Scenario: A worker that left without runs does not delay the next owner
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And the worker w0 drains and leaves in 2 seconds
        And ana submits the normal job K of "4 x 8"
        And the worker w0 has left
        And 1 second passes
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of K ends as done
        Then 3 tasks of K run

    Scenario: A task runs twice after a lost answer hides that the stored roster lacks its worker
        When ana submits the normal job K of "3 x 8"
        And 1 second passes
        And the next store writes hit the faults "lost-answer"
        And the worker w3 is missing from one list
        And ana submits the normal job J of "1 x 2"
        And 1 second passes
        Then 1 task of J runs
        When task 0.0.0 of K ends as done
        And the worker of task 0.0.0 of J is disconnected
        And the disconnected worker is not listed
        And the owner dies
        And a new owner takes over
        Then task 0.0.0 of J was started 1 time

    Scenario: A task runs twice after a late write removes its worker from the stored roster
        When ana submits the normal job K of "3 x 8"
        And 1 second passes
        And the next store writes hit the faults "late"
        And the worker w3 is missing from one list
        And ana submits the normal job J of "1 x 2"
        And 1 second passes
        And the late store writes are carried out
        Then 1 task of J runs
        When task 0.0.0 of K ends as done
        And the worker of task 0.0.0 of J is disconnected
        And the disconnected worker is not listed
        And the owner dies
        And a new owner takes over
        Then task 0.0.0 of J was started 1 time

    Scenario: A worker that left without runs delays the next owner because its removal from the roster is lost
        When ana submits the normal job J of "1 x 2"
        And task 0.0.0 of J ends as done
        And the worker w0 drains and leaves in 2 seconds
        And ana submits the normal job K of "4 x 8"
        And the next store writes hit the faults "late"
        And the worker w0 has left
        And 2 seconds pass
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of K ends as done
        Then 3 tasks of K run

    Scenario: A new owner runs a task again because its end is beyond those that its worker lists
        When workers list at most 1 run end
        And ana submits the normal job J of "12 x 1"
        And the owner dies
        And all tasks of J end as done at once
        And a new owner takes over
        And 1 second passes
        Then each task of J was started 1 time
        And the job J is completed

    Scenario: A new owner that cannot store ends runs a task again before its worker lists the rest of them
        When workers list at most 1 run end
        And ana submits the normal job J of "12 x 1"
        And the owner dies
        And all tasks of J end as done at once
        And the store refuses writes of progress
        And a new owner takes over
        And 15 seconds pass
        Then each task of J was started 1 time
        When the store accepts writes again
        And 1 second passes
        Then the job J is completed

    Scenario: A task runs again because the worker that reports its end leaves the roster before the end is stored
        When ana submits the normal job J of "1 x 2"
        And the store refuses writes of progress
        And the worker of task 0.0.0 of J is not listed
        And task 0.0.0 of J ends as done
        And 1 second passes
        And the owner dies
        And the store accepts writes again
        And a new owner takes over
        And all workers are listed again
        And 1 second passes
        Then task 0.0.0 of J was started 1 time
        And the job J is completed

    Scenario: A task runs twice because the stored roster has an address that its worker no longer has
        When ana submits the normal job K of "3 x 8"
        And the worker w3 restarts at another address
        And ana submits the normal job J of "1 x 2"
        Then 1 task of J runs
        When task 0.0.0 of K ends as done
        And the worker of task 0.0.0 of J is disconnected
        And the owner dies
        And a new owner takes over
        And 1 second passes
        Then task 0.0.0 of J was started 1 time

    Scenario: A worker that died before a takeover delays every later owner too
        When ana submits the normal job K of "4 x 8"
        And the worker w0 has left
        And the owner dies
        And a new owner takes over
        And 12 seconds pass while all runs make progress
        And the owner dies
        And a new owner takes over
        And task 0.0.1 of K ends as done
        Then 3 tasks of K run

    Scenario: Takeovers in series postpone a task again and again for a worker that has left
        When ana submits the normal job K of "4 x 8"
        And the worker w0 has left
        And the owner dies
        And a new owner takes over
        And 4 seconds pass while all runs make progress
        And the owner dies
        And a new owner takes over
        And 4 seconds pass while all runs make progress
        And the owner dies
        And a new owner takes over
        And 3 seconds pass while all runs make progress
        And task 0.0.1 of K ends as done
        And 1 second passes
        Then 3 tasks of K run
        And no task has had two runs at the same time

    Scenario: A worker that an owner reaches between two takeovers has its whole lease after the second one
        When ana submits the normal job K of "4 x 8"
        And the worker of task 0.0.3 of K is disconnected
        And the owner dies
        And a new owner takes over
        And 2 seconds pass while all runs make progress
        And the disconnected worker is reachable again
        And 1 second passes
        And the worker of task 0.0.3 of K is disconnected
        And the owner dies
        And a new owner takes over
        And 4 seconds pass while all runs make progress
        And task 0.0.1 of K ends as done
        And 1 second passes
        Then task 0.0.3 of K was started 1 time
        When 6 seconds pass while all runs make progress
        Then no task has had two runs at the same time

    Scenario: A listed worker that has long been silent does not delay later owners
        When ana submits the normal job K of "4 x 8"
        And the worker of task 0.0.3 of K is disconnected
        And 12 seconds pass while all runs make progress
        And the owner dies
        And a new owner takes over
        And task 0.0.1 of K ends as done
        Then 3 tasks of K run

    Scenario: A listed worker that has never answered does not delay later owners
        When ana submits the normal job K of "5 x 8"
        And 1 worker joins the fleet
        And the owner cannot reach w4
        And 12 seconds pass while all runs make progress
        And the owner dies
        And a new owner takes over that cannot reach w4
        And task 0.0.1 of K ends as done
        Then 4 tasks of K run

    Scenario: A worker that answers again after a long silence gets tasks
        When ana submits the normal job K of "4 x 8"
        And the worker of task 0.0.3 of K is disconnected
        And 12 seconds pass while all runs make progress
        And the disconnected worker is reachable again
        And 1 second passes
        Then 4 tasks of K run
        And no task has had two runs at the same time

    Scenario: A worker gets no tasks while a roster without it is being stored
        When ana submits the normal job J of "4 x 8"
        And 1 worker joins the fleet
        And the owner cannot reach w4
        And 1.5 seconds pass
        And the next store writes hit the faults "silent"
        And 2 seconds pass
        And the owner reaches all workers
        And ana submits the normal job K of "1 x 8"
        And 0.5 seconds pass
        And the owner dies
        And a new owner takes over that cannot reach w4
        And task 0.0.0 of J ends as done
        And 1 second passes
        Then no task has had two runs at the same time
