Feature: A submission to a cell is refused only if its job is certainly not stored

    Background:
        Given a cell whose workers are all occupied

    Scenario: A job whose write is refused is neither stored nor run
        When J is submitted to the cell while the store is down
        Then the outcome is REFUSED
        And the next owner of the cell does not have the job J

    Scenario: A refused job can be submitted again
        When J is submitted to the cell while the store is down
        And J is submitted to the cell
        Then the outcome is COMPLETED
        And the next owner of the cell has the job J

    # An accepted job was dropped by its owner, and from the store, when its submission was repeated in an outage.
    Scenario: A stored job is kept if the store is down when it is submitted again
        When J is submitted to the cell
        And J is submitted to the cell while the store is down
        Then the outcome is UNKNOWN
        When K is submitted to the cell
        Then the outcome is COMPLETED
        And the next owner of the cell has the job J

    # A job was refused although an unanswered write of it could still be carried out.
    Scenario: A job is not refused while an earlier write of it is unanswered
        When J is submitted to the cell while the answers of the store are lost
        Then the outcome is UNKNOWN
        When J is submitted to the cell while the store is down
        Then the outcome is UNKNOWN

    Scenario: A job is not refused while an unanswered write of another job may contain it
        When the jobs J and K are submitted together while one answer of the store is lost and the others are refused
        Then the outcomes are "UNKNOWN, UNKNOWN"

    # A job was accepted that was not stored, since another submission of it had been refused meanwhile.
    Scenario: Two submissions of a job of which the first is refused
        When the job J is submitted twice while the store refuses one write
        Then the outcomes are "REFUSED, COMPLETED"
        And the next owner of the cell has the job J
