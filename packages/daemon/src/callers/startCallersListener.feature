Feature: A daemon that stops answers every request that reaches it before its end

    Background:
        Given a callers' listener with an open connection

    Scenario: Requests after the daemon has begun to refuse are answered, on new and on open connections
        When the daemon begins to refuse requests
        Then a request on the open connection is refused with the reason "stopping"
        And a request on a new connection is refused with the reason "stopping"

    Scenario: A long answer that is read slowly arrives completely
        When a caller requests a job of 4000000 bytes and reads nothing yet
        And the daemon finishes its requests and closes the listener
        Then the caller that reads on has received the whole answer

    Scenario: A request that is still in progress at the end of the drain has an unknown outcome
        When a caller requests a job whose owner does not answer
        And the daemon finishes its requests and closes the listener
        Then the caller is told the outcome "unknown" and the reason "stopping"

    Scenario: A request whose body has not arrived at the end of the drain is refused
        When a caller sends a part of a submission
        And the daemon finishes its requests and closes the listener
        Then the caller is told the outcome "refused" and the reason "stopping"

    # The daemon ended the connection as well, without the answer.
    Scenario: A caller that ends its side of the connection after a request is answered
        When a caller requests a job whose owner does not answer
        And the caller ends its side of the connection
        And the daemon finishes its requests and closes the listener
        Then the caller is told the outcome "unknown" and the reason "stopping"
