Feature: Tasks that crash their workers

    Background:
        Given a fleet of 10 workers with an owner

    Scenario: A task that crashes its workers is started again and again
        Given task 0.0.0 of the job number 2 crashes its worker after 300 ms
        When ana submits the normal job K of "30 x 2"
        And bob submits the normal job J of "1 x 2"
        And 60 seconds pass in which runs end after 3 seconds
        Then no task of J was started more than 4 times
        And the job J is failed
        And the job K is completed

    Scenario: A task that crashes its workers is started again and again through takeovers
        Given task 0.0.0 of the job number 2 crashes its worker after 300 ms
        When ana submits the normal job K of "30 x 2"
        And bob submits the normal job J of "1 x 2"
        And 5 seconds pass in which runs end after 3 seconds
        And the owner dies
        And a new owner takes over
        And 5 seconds pass in which runs end after 3 seconds
        And the owner dies
        And a new owner takes over
        And 60 seconds pass in which runs end after 3 seconds
        Then no task of J was started more than 5 times
        And the job J is failed
        And the job K is completed

    Scenario: A gang with a member that crashes its workers is started again and again
        Given task 0.0.1 of the job number 2 crashes its worker after 500 ms
        When ana submits the normal job K of "20 x 2"
        And bob submits the normal job J of "3 x 4 gang"
        And 90 seconds pass in which runs end after 3 seconds
        Then no task of J was started more than 4 times
        And the job J is failed
        And the job K is completed

    Scenario: Two jobs crash their workers at once
        Given task 0.0.0 of the job number 2 crashes its worker after 300 ms
        And task 0.0.0 of the job number 3 crashes its worker after 300 ms
        When ana submits the normal job K of "30 x 2"
        And bob submits the normal job I of "1 x 2"
        And bob submits the normal job J of "1 x 2"
        And 90 seconds pass in which runs end after 3 seconds
        Then no task of I was started more than 4 times
        And no task of J was started more than 4 times
        And the job I is failed
        And the job J is failed
        And the job K is completed

    Scenario: A lasting task that crashes its workers is started again and again
        Given task 0.0.0 of the job number 2 crashes its worker after 2500 ms
        When ana submits the normal job K of "30 x 2"
        And bob submits the normal job J of "1 x 2 lasting"
        And 90 seconds pass in which runs end after 3 seconds
        Then no task of J was started more than 4 times
        And the job J is running
        And the job K is completed
        When 150 seconds pass in which runs end after 3 seconds
        Then a task of J was started 5 times
        And the job J is running

    Scenario: A task that crashes its workers before they answer the start is started again and again
        Given task 0.0.0 of the job number 1 crashes its worker after 0 ms
        When bob submits the normal job J of "1 x 2"
        And 90 seconds pass in which runs end after 3 seconds
        Then no task of J was started more than 5 times
        And the job J is failed

    Scenario: A task that crashes its workers, which are back after the lease, is started again and again
        Given task 0.0.0 of the job number 1 crashes its worker after 300 ms
        And workers are down for 15 seconds after a crash
        When bob submits the normal job J of "1 x 2"
        And 120 seconds pass in which runs end after 3 seconds
        Then no task of J was started more than 5 times
        And the job J is failed

    Scenario: Two power cuts give up a job
        When ana submits the normal job K of "30 x 2"
        And 1 second passes
        And the workers w0 w1 w2 crash
        And 6 seconds pass
        And the workers w0 w1 w2 crash
        And 60 seconds pass in which runs end after 3 seconds
        Then the job K is completed
