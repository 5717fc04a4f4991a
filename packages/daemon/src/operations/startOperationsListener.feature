Feature: A daemon that stops answers the requests of operators and monitoring that are in progress

    Scenario: A fetch of the metrics that is in progress when the listener closes
        Given an operations listener whose metrics take a while
        When the metrics are fetched, and the listener closes meanwhile
        Then the fetch is answered with the status 200
