Feature: Choosing endpoints

    Scenario Outline: An endpoint that is leaving gets no new work after a sign from <source>
        Given a pool of 4 endpoints, 2 of them near
        When "endpoint-0" is said to be leaving by <source>
        Then 100 attempts avoid "endpoint-0"
        And a later list that still calls it live changes nothing

        Examples:
            | source     |
            | the list   |
            | a peer     |
            | its answer |

    Scenario: Near endpoints are used first and work spills over when they are full
        Given a pool of 4 endpoints, 2 of them near
        Then the first 16 attempts go to near endpoints and the next 16 to far ones
        And no further attempt finds a slot

    Scenario: An endpoint that fails everything is ejected, and tried again later
        Given a pool of 4 endpoints, 2 of them near
        When "endpoint-0" fails 5 times
        Then 100 attempts avoid "endpoint-0"
        And after 2000 ms it is tried again

    Scenario: No more than half of the endpoints are ejected when all fail
        Given a pool of 4 endpoints, 2 of them near
        When every endpoint fails 20 times
        Then at least 2 endpoints still get attempts
