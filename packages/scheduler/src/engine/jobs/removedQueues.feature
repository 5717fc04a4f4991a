Feature: Accepted jobs go on when their queue is removed from the configuration

    Background:
        Given a fleet of 2 workers with an owner

    # LOST: the second step was never placed on idle workers.
    Scenario: A step that is ready after the queue was replaced is not placed
        When ana submits the normal job J of "2 x 1;2 x 1 after 0"
        And the queue normal is replaced by renamed
        And task 0.0.0 of J ends as done
        And task 0.0.1 of J ends as done
        Then 2 tasks of J run
        When task 0.1.0 of J ends as done
        And task 0.1.1 of J ends as done
        Then the job J is completed

    # LOST: the same for a job without any run, and with a queue that is only removed.
    Scenario: A job that waits for workers while its queue is removed is not placed
        When ana submits the normal job K of "2 x 8"
        And ana submits the normal job J of "1 x 8"
        And the configuration has no queue normal
        And task 0.0.0 of K ends as done
        Then 1 task of J runs

    # LOST: a lasting task was not restarted.
    Scenario: A lasting task that ends after its queue was removed is not restarted
        When ana submits the normal job J of "1 x 1 lasting"
        And the configuration has no queue normal
        And task 0.0.0 of J ends as failed
        And 2 seconds pass
        Then 1 task of J runs

    # LOST: later times of a schedule were left out.
    Scenario: The times of a schedule that are due after the queue was removed are left out
        When ana submits the scheduled job J of "1 x 1", 2 times every 5 seconds from 5 second on
        And the configuration has no queue normal
        And 6 seconds pass
        And task 0.0.0 of J ends as done
        And 5 seconds pass
        And task 1.0.0 of J ends as done
        Then the job J is completed

    # LOST: an owner that has never seen the queue knows its terms from the job only.
    Scenario: A new owner that has never seen the queue leaves out its jobs
        When ana submits the normal job J of "2 x 1;2 x 1 after 0"
        And the configuration has no queue normal
        And the owner dies
        And a new owner takes over
        And task 0.0.0 of J ends as done
        And task 0.0.1 of J ends as done
        Then 2 tasks of J run

    # LOST: a job was failed after two attempts, whatever its queue had allowed.
    Scenario: A task of a removed queue gets fewer attempts than its queue allowed
        When the queue normal allows 3 attempts
        And ana submits the normal job J of "1 x 1"
        And the configuration has no queue normal
        And task 0.0.0 of J ends as failed
        And 1 second passes
        And task 0.0.0 of J ends as failed
        And 1 second passes
        Then 1 task of J runs
        When task 0.0.0 of J ends as failed
        Then the job J is failed

    # RECLAIM: a guarantee was not reclaimed for an urgent job.
    Scenario: An urgent job of a removed queue does not reclaim its guarantee
        When bob submits the bulk job K of "2 x 8"
        And the configuration has no queue normal
        And ana submits the urgent job J of "1 x 8;1 x 8 after 0"
        And the configuration has no queue urgent
        And task 0.0.0 of J ends as done
        And 1 second passes
        Then 1 task of J runs

    Scenario: A job is accepted by a daemon whose configuration has a queue that the owner does not know yet
        When the configuration has no queue normal
        And ana submits the normal job J of "1 x 1"
        Then 1 task of J runs

    Scenario: The present terms of a configured queue apply, not those of the acceptance
        When ana submits the normal job J of "1 x 1"
        And the queue normal allows 3 attempts
        And task 0.0.0 of J ends as failed
        And 1 second passes
        And task 0.0.0 of J ends as failed
        And 1 second passes
        Then 1 task of J runs

    # CONFIG: the owner had an older configuration than the daemon that accepted the job, and used the old service.
    Scenario: A job is not run on the service to which only an older configuration sends its queue
        When the next configuration sends the queue normal to other
        And ana submits the normal job J of "1 x 1" through a daemon with the next configuration
        And 1 second passes
        Then 0 tasks of J run
        When the owner has the next configuration
        And 1 second passes
        Then 0 tasks of J run
        When the next configuration sends the queue normal to service
        And the owner has the next configuration
        And 1 second passes
        Then 1 task of J runs

    Scenario: A job that stored no terms keeps those that an owner has known
        When ana submits the normal job J of "1 x 1;1 x 1 after 0" through a daemon that stores no term
        And the configuration has several services
        And the configuration has no queue normal
        And task 0.0.0 of J ends as done
        Then 1 task of J runs
        When the owner dies
        And a new owner takes over
        And task 0.1.0 of J ends as failed
        And 1 second passes
        Then 1 task of J runs

    Scenario: A job that stored no terms and whose queue no owner has known runs on the only service
        When the configuration has no queue normal
        And ana submits the normal job J of "1 x 1" through a daemon that stores no term
        Then 1 task of J runs
        And the jobs without a queue match the snapshot

    Scenario: A job that stored no terms waits for its queue if there are several services
        When the configuration has several services
        And the configuration has no queue normal
        And ana submits the normal job J of "1 x 1" through a daemon that stores no term
        Then 0 tasks of J run
        And the jobs without a queue match the snapshot
        When the configuration has all queues again
        And 1 second passes
        Then 1 task of J runs
        And the jobs without a queue match the snapshot

    Scenario: Jobs whose queue is removed are reported
        When ana submits the normal job J of "1 x 1"
        And ana submits the normal job K of "1 x 1"
        And the configuration has no queue normal
        And 1 second passes
        Then the jobs without a queue match the snapshot
        When K is cancelled by its caller
        And 1 second passes
        Then the jobs without a queue match the snapshot

    Scenario: The jobs of a customer that is removed from the configuration go on
        When ana submits the normal job J of "1 x 1;1 x 1 after 0"
        And the configuration has no customers
        And task 0.0.0 of J ends as done
        Then 1 task of J runs
