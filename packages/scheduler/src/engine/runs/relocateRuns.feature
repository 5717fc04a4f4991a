Feature: Tasks that cannot finish on their worker continue on another one

    Background:
        Given a fleet of 2 workers with an owner

    Scenario: A task whose run has stalled is started on another worker
        When ana submits the normal job J of "1 x 2"
        And 8 seconds pass
        Then 1 task of J runs
        And task 0.0.0 of J was started 2 times

    Scenario: A run that makes progress stays on its worker
        When ana submits the normal job J of "1 x 2"
        And 3 seconds pass
        And task 0.0.0 of J is 40 percent done
        And 3 seconds pass
        Then task 0.0.0 of J was started 1 time

    Scenario: A member of a gang that waits for a slower one stays on its worker
        When ana submits the normal job J of "2 x 2 gang"
        And 3 seconds pass
        And task 0.0.0 of J is 100 percent done
        And task 0.0.1 of J is 60 percent done
        And 3 seconds pass
        And task 0.0.1 of J is 90 percent done
        And 3 seconds pass
        Then each task of J was started 1 time

    Scenario: A gang of which one member has stalled is started again
        When ana submits the normal job J of "2 x 2 gang"
        And 3 seconds pass
        And task 0.0.0 of J is 100 percent done
        And task 0.0.1 of J is 60 percent done
        And 6 seconds pass
        Then each task of J was started 2 times

    Scenario: A task that cannot end before its worker leaves continues on another worker
        When ana submits the normal job J of "1 x 2"
        And the worker w0 drains and leaves in 2 seconds
        Then 1 task of J runs
        And no task runs on w0

    Scenario: A task that ends before its worker leaves stays there
        When ana submits the normal job J of "1 x 2"
        And the worker w0 drains and leaves in 20 seconds
        Then task 0.0.0 of J was started 1 time

    Scenario: A lasting task leaves a draining worker at once
        When ana submits the normal job J of "1 x 2 lasting"
        And the worker w0 drains and leaves in 20 seconds
        Then 1 task of J runs
        And no task runs on w0

    Scenario: A lasting task is restarted after any kind of end
        When ana submits the normal job J of "1 x 2 lasting"
        And task 0.0.0 of J ends as done
        And task 0.0.0 of J ends as failed
        And task 0.0.0 of J ends as failed
        And task 0.0.0 of J ends as failed
        And 2 seconds pass
        Then 1 task of J runs
        And the job J is running
