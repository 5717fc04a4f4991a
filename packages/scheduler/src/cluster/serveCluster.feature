Feature: Malformed input from a peer does not end a daemon

    Background:
        Given a daemon that serves its peers

    Scenario: A call whose message cannot be decoded
        When a peer sends a call with a malformed message
        Then the peer's call is refused
        And a heartbeat to the daemon is answered
        And no error was left unhandled

    Scenario: A call that is reset before its message is complete
        When a peer resets a call before its message is complete
        Then a heartbeat to the daemon is answered
        And no error was left unhandled

    # UNASKED: the owner started tasks without the byte order mark of a spec that another daemon had accepted.
    Scenario: A job that a peer announces reaches the owner as the peer has stored it
        When a peer announces a job with the spec "\ufeff7;\ud83d" to the owner
        Then the owner has a job with the spec "\ufeff7;\ud83d"

    Scenario: A connection that does not speak HTTP/2
        When a peer sends a request of another protocol
        Then a heartbeat to the daemon is answered
        And no error was left unhandled

    Scenario: A heartbeat that names addresses that are none
        When a peer sends a heartbeat from the address "no address" that lists a peer at "::"
        Then a heartbeat to the daemon is answered
        And no error was left unhandled
