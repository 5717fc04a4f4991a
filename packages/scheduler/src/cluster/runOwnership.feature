Feature: An owner's term ends with the first sign that it must

    Background:
        Given a daemon with a store

    Scenario: A daemon that stops while it claims the ownership keeps it
        When the daemon claims the ownership, and stops before the claim is answered
        Then the store holds no owner's record

    Scenario: An owner schedules on although its daemon has heard of its successor
        Given the daemon is the owner
        When a peer's heartbeat names an owner that is newer by 1
        Then the owner's term has ended

    Scenario: An owner resigns because a peer still names its predecessor
        Given the daemon is the owner
        When a peer's heartbeat names an owner that is newer by -1
        Then the owner's term goes on

    Scenario Outline: A daemon with <cores> cores waits before it claims the ownership
        Given the daemon has a processor of <cores> cores
        And <count> peers with a processor of <peerCores> cores that reach the store
        Then the daemon waits from <shortest> to <longest> ms before it claims the ownership

        Examples:
            | cores | count | peerCores | shortest | longest |
            | 1     | 5     | 1         | 0        | 60      |
            | 0     | 5     | 0         | 0        | 60      |
            | 1     | 96    | 1         | 0        | 720     |
            | 0.3   | 16    | 1.3       | 300      | 420     |

    Scenario: A daemon does not wait for a faster one whose process is dead
        Given the daemon has a processor of 0.3 cores
        And 1 peers with a processor of 1.3 cores that reach the store
        And the peers refuse connections
        Then the daemon waits from 0 to 60 ms before it claims the ownership

    Scenario Outline: An owner with <cores> cores beside one with <peerCores> cores
        Given the daemon has a processor of <cores> cores
        And 1 peers with a processor of <peerCores> cores that <reach> the store
        Then the owner <hands> over after <seconds> seconds

        Examples:
            | cores | peerCores | reach        | hands          | seconds |
            | 0.3   | 1.3       | reach        | hands          | 2       |
            | 0.3   | 1.3       | reach        | does not hand  | 1       |
            | 0.3   | 1.3       | do not reach | does not hand  | 2       |
            | 1     | 1.3       | reach        | does not hand  | 2       |
            | 1.3   | 0.3       | reach        | does not hand  | 2       |
            | 0     | 1.3       | reach        | does not hand  | 2       |

    Scenario: An owner whose faster peer did not take over does not hand over again at once
        Given the daemon has a processor of 0.3 cores
        And 1 peers with a processor of 1.3 cores that reach the store
        And the daemon has handed over
        Then the owner does not hand over after 10 seconds

    Scenario: An owner gives up the ownership for a faster daemon
        Given the daemon is the owner
        And the daemon has a processor of 0.3 cores
        And 1 peers with a processor of 1.3 cores that reach the store
        When the owner's term has lasted 2 seconds
        Then the owner's term ends

    Scenario: A daemon whose scheduler fails unexpectedly ends the term and claims the ownership again
        Given the daemon keeps trying to be the owner, and its first term fails unexpectedly
        Then the owner's term has ended
        And the daemon has become the owner twice
