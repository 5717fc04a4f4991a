Feature: A pass skips steps that need no less than one without room

    Scenario: A step that the record covers fits on no worker
        Then a covered step fits nowhere, for random fleets and steps

    Scenario: A full fleet is searched for few of many waiting steps
        Given a full fleet of 100 workers
        When 500 random steps are checked against the record
        Then at most 50 of them are searched for room
