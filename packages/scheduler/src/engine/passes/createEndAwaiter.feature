Feature: A guaranteed step waits for runs that end soon by themselves

    # Guards against awaiting some members of a gang and stopping the others, which breaks the gang.
    Scenario Outline: The members of a gang on workers of different speed get the same answer
        Given a gang of 2 members on workers that take 0.6 and 1.65 times the usual time, which is <median> ms
        When the members have run for <elapsed> ms and a guaranteed step with <objective> ms left asks for their ends
        Then the answers are "<answers>"

        Examples:
            | median | elapsed | objective | answers              |
            | 1000   | 1160    | 60000     | 490, 490             |
            | 1000   | 1160    | 2000      | undefined, undefined |
            | 1000   | 500     | 60000     | undefined, undefined |

    # Guards against taking a gang whose first member waits for the others for one with an unknown end.
    Scenario: A gang with a member that has done its work ends with the others
        Given a gang of 2 members on workers that take 0.6 and 1.65 times the usual time, which is 1000 ms
        And the first member has done its work
        When the members have run for 1600 ms and a guaranteed step with 60000 ms left asks for their ends
        Then the answers are "50, 50"
