Feature: A call is refused for good only by a configuration that is known to be the newest

    Background:
        Given a daemon with a store

    # CONFIG: a new daemon refused calls by the version of a peer that was behind.
    Scenario: A daemon that has started does not refuse calls for good by a peer's configuration
        Given the store holds configuration 5
        When a peer offers configuration 4
        Then a call for a queue that is not configured is refused with configuration-unconfirmed
        When the daemon watches the configuration
        Then a call for a queue that is not configured is refused with no-such-queue

    # CONFIG: a daemon that nobody told of a change refused calls by the version before it.
    Scenario: A daemon that does not hear from the store does not refuse calls for good by its last configuration
        Given the store holds configuration 5
        When the daemon watches the configuration
        And 2000 ms pass
        Then a call for a queue that is not configured is refused with no-such-queue
        When 1 ms pass
        Then a call for a queue that is not configured is refused with configuration-unconfirmed

    # LOST: the job of a customer with a new key was stored for no customer, and answered 410 once the key was known.
    Scenario Outline: While the configuration is not known to be the newest, calls are served as far as it allows them
        Then a call to host <host> and path <path> with key <key> by an old configuration resolves to <result>

        Examples:
            | host | path   | key  | result                    |
            | a    | /x/1   | k1   | short                     |
            | a    | /x/y/1 | k2   | long                      |
            | b    | /x/1   | none | open                      |
            | a    | /z/1   | k1   | configuration-unconfirmed |
            | a    | /x/1   | bad  | configuration-unconfirmed |
            | a    | /x/1   | none | configuration-unconfirmed |
            | b    | /x/1   | bad  | configuration-unconfirmed |

    Scenario Outline: The host, the longest matching prefix and the key determine the queue
        Then a call to host <host> and path <path> with key <key> resolves to <result>

        Examples:
            | host | path    | key  | result        |
            | a    | /x/1    | k1   | short         |
            | a    | /x/y/1  | k2   | long          |
            | a    | /z/1    | k1   | no-such-queue |
            | c    | /x/1    | k1   | no-such-queue |
            | a    | /x/1    | none | unknown-key   |
            | a    | /x/1    | bad  | unknown-key   |
            | b    | /x/1    | none | open          |
            | b    | /x/1    | bad  | open          |

    Scenario: Calls are refused until a configuration is loaded
        Then a call before a configuration is loaded is refused with no-configuration
