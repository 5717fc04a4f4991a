Feature: An owner's term ends with the first sign that it must

    Background:
        Given a daemon with a store

    Scenario: A daemon that stops while it claims the ownership keeps it
        When the daemon claims the ownership, and stops before the claim is answered
        Then the store holds no owner's record
