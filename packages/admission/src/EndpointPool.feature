Feature: Endpoint pool

    Scenario Outline: An endpoint gets no new work after <source> reports that it is leaving
        Given a pool of 4 endpoints, 2 of them in the local data centre
        When "endpoint-0" is said to be leaving by <source>
        Then 100 attempts avoid "endpoint-0"
        And a later list that still shows it as live changes nothing

        Examples:
            | source     |
            | the list   |
            | a peer     |
            | its answer |

    Scenario: Local endpoints are used first and remote ones when the local ones are full
        Given a pool of 4 endpoints, 2 of them in the local data centre
        Then the first 16 attempts go to local endpoints and the next 16 to remote ones
        And no further attempt finds a free slot

    Scenario: An endpoint that fails repeatedly is ejected and tried again later
        Given a pool of 4 endpoints, 2 of them in the local data centre
        When "endpoint-0" fails 5 times
        Then 100 attempts avoid "endpoint-0"
        And after 2000 ms it is tried again

    Scenario: At most half of the endpoints are ejected when all of them fail
        Given a pool of 4 endpoints, 2 of them in the local data centre
        When every endpoint fails 20 times
        Then at least 2 endpoints still get attempts
