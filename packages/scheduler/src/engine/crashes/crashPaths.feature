Feature: Ways in which a worker crashes under a task

    Scenario: A gang that breaks on its other workers when a member crashes its worker is started again and again
        Given a fleet of 10 workers with an owner
        And a gang ends as broken on its other workers when a worker crashes under a member
        And task 0.0.1 of the job number 1 crashes its worker after 500 ms
        When bob submits the normal job J of "3 x 8 gang"
        And 90 recorded seconds pass
        Then no task of J has more than 4 recorded starts
        And the job J is failed

    Scenario: A task that crashes workers whose machines get new workers is started again and again
        Given a fleet of 10 workers with an owner
        And crashed workers come back under new ids
        And task 0.0.0 of the job number 1 crashes its worker after 300 ms
        When bob submits the normal job J of "1 x 2"
        And 90 recorded seconds pass
        Then no task of J has more than 4 recorded starts
        And the job J is failed

    Scenario: A task whose owners die with its workers is started again and again
        Given a fleet of 10 workers with an owner
        And the starts and crashes of all tasks are recorded
        And task 0.0.0 of the job number 1 crashes its worker after 300 ms
        When bob submits the normal job J of "1 x 2"
        And 2 recorded seconds pass
        And the owners die with the next 3 crashes under task 0.0.0 of J
        And 60 recorded seconds pass
        Then no task of J has more than 2 recorded starts after its third crash
        And the job J is failed

    Scenario: A task whose owners die with its first two workers is started again and again on shared workers
        Given a fleet of 3 workers with an owner
        And the starts and crashes of all tasks are recorded
        And task 0.0.0 of the job number 2 crashes its worker after 300 ms
        When ana submits the normal job K of "4 x 3 lasting"
        And bob submits the normal job J of "1 x 2"
        And the owners die with the next 2 crashes under task 0.0.0 of J
        And 90 recorded seconds pass
        Then no task of J has more than 2 recorded starts after its third crash
        And the job J is failed
        And the job K is running

    Scenario: A suspected task crashes further workers with its copies
        Given a fleet of 10 workers with an owner
        And the starts and crashes of all tasks are recorded
        And task 0.0.0 of the job number 1 crashes its worker after 9000 ms
        When bob submits the normal job J of "1 x 2 copies"
        And 90 recorded seconds pass
        Then no task of J has more than 3 recorded starts
        And the job J is failed

    Scenario: A start that the next worker at the address refuses counts as a crash under its task
        Given a fleet of 2 workers with an owner
        When the worker w0 is replaced by w2 at its address, and both are listed
        And ana submits the normal job J of "2 x 8"
        And 2 seconds pass
        Then 2 tasks of J run
        And no crash has been counted
