Feature: How strongly a crash speaks against the task that ran on the worker

    Scenario Outline: A crash counts against a task although <explanation> explains it
        Given a crash under a run that has lasted 2 s, in a fleet of 33 workers
        When <explanation> explains it
        Then it counts as <evidence>

        Examples:
            | explanation                                    | evidence |
            | nothing                                        | 2.3      |
            | another run on the worker                      | 2.2      |
            | one other crash at the same time               | 1.9      |
            | two other crashes at the same time             | 0.0      |
            | a minute with 20 single crashes elsewhere      | 1.2      |
            | a minute with 20 common crashes elsewhere      | 2.0      |
            | a crash of the machine 10 s ago                | 0.9      |
            | a machine that has crashed 4 times in 12 s     | -0.2     |
            | a start that the silent worker never confirmed | 1.3      |
            | a run that had lasted 30 s                     | 0.0      |
            | a gang of 8 members                            | 1.6      |
