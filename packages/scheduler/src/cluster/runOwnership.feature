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
