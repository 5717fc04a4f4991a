Feature: The timeline of one request is assembled from the logs of all daemons

    Scenario: Lines of the request and the context lines around it are shown in chronological order
        Given the logs:
            """
            {"timestamp":"2026-01-01T00:00:02.000Z","node":"b","message":"A job is taken over.","job":"aa","revision":7,"level":"info"}
            {"timestamp":"2026-01-01T00:00:01.900Z","node":"a","message":"A call is answered.","url":"/q/aa","status":200,"level":"info"}
            {"timestamp":"2026-01-01T00:00:02.010Z","node":"b","message":"A start is ordered.","job":"aa","worker":"w1","outcome":"unclear","cause":"no answer"}
            {"timestamp":"2026-01-01T00:00:02.020Z","node":"b","message":"A worker is paused.","worker":"w1","pauseMs":250}
            {"timestamp":"2026-01-01T00:00:02.030Z","node":"b","message":"A worker is paused.","worker":"w2","pauseMs":250}
            {"timestamp":"2026-01-01T00:00:02.040Z","node":"b","message":"A run ends.","job":"bb","worker":"w1"}
            a shipper's prefix {"timestamp":"2026-01-01T00:00:03.000Z","node":"c","message":"The ownership is taken.","revision":9}
            {"timestamp":"2026-01-01T00:00:20.000Z","node":"c","message":"The term ends.","reason":"late"}
            not a line of a daemon
            {"timestamp":"2026-01-01T00:00:12.000Z","node":"c","message":"A job ends.","job":"aa","state":"COMPLETED"}
            """
        Then the timeline of "aa" matches its snapshot

    Scenario: A request that no line refers to has an empty timeline
        Given the logs:
            """
            {"timestamp":"2026-01-01T00:00:02.000Z","node":"b","message":"A job is taken over.","job":"aaa","revision":7}
            """
        Then the timeline of "aa" is empty
