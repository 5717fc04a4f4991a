Feature: Replayed loads are served better than by the code before

    # Guards against stops that ignore the speed of the workers that they free, and the work that they lose. The code before
    # is that without learned speeds; the present one loses 45,737 core-seconds and has 215 urgent jobs in time.
    Scenario: Guaranteed gangs throw away less work and end in time more often on a full fleet of uneven workers
        When the bursts of urgent gangs of the seeds 1 to 2 are replayed over a full fleet
        And the bursts of urgent gangs of the seeds 3 to 4 are replayed over a full fleet
        And the bursts of urgent gangs of the seeds 5 to 6 are replayed over a full fleet
        And the bursts of urgent gangs of the seeds 7 to 8 are replayed over a full fleet
        Then fewer core-seconds are lost than the 50376 of the code before
        And more urgent jobs end in time than the 88 of the code before
        And each covered urgent job starts within the bound
