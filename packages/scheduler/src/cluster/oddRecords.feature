Feature: A record of the cluster that cannot be used does not end the task that reads it

    Background:
        Given a daemon with a store

    Scenario: An unreadable member among sound ones
        Given the store holds an unreadable member and the members "10.0.0.2:1 10.0.0.3:1 10.0.0.4:1"
        When the daemon joins the cluster
        Then the daemon has added the peers "10.0.0.2:1 10.0.0.3:1 10.0.0.4:1"
        And 1 ignored MemberRecord is counted

    Scenario: An unreadable owner's record holds the ownership, which is claimed once it is removed
        Given the store holds an unreadable owner's record
        When the daemon watches the ownership
        Then 1 ignored OwnerRecord is counted
        When the owner's record is removed
        Then the term's record has the revision of the owner's record

    Scenario Outline: A term's record <oddity> is replaced by a higher number that can be counted on
        Given the store holds a term's record <oddity>
        When the daemon watches the ownership
        Then the term's record has the revision of the owner's record
        And the stored number of terms is from 100 to 2000001
        And 1 ignored TermRecord is counted

        Examples:
            | oddity                    |
            | of bytes that are no record |
            | with 4294967295 terms     |
            | with 2000002 terms        |

    Scenario: A sound term's record is counted on
        Given the store holds a term's record with 7 terms
        When the daemon watches the ownership
        Then the term's record has the revision of the owner's record
        And the stored number of terms is from 8 to 8
