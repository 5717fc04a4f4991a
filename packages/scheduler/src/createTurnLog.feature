Feature: Input that a process handles late is known to be old, other input is not

    # A stop outlasted the grace period: it counted the time from the signal's arrival, not from its sending.
    Scenario Outline: A signal that is handled after a suspension may have been sent at its begin
        Given a process whose turns begin at "<turns>" ms, of which the last one is "<last>"
        Then a signal that is handled at <handled> ms was sent after <sent> ms

        Examples:
            | turns            | last       | handled | sent |
            | 0                | complete   | 40      | 0    |
            | 0 100 200        | incomplete | 201     | 100  |
            | 0 100 200        | complete   | 250     | 200  |
            | 0 100 200 5200   | incomplete | 5201    | 200  |
            | 0 100 200 5200   | complete   | 5230    | 5200 |

    # The time for which the daemon loaded its code was taken off the grace period of a signal that came after it.
    Scenario: A signal that arrives after the process was busy was not sent before
        Given a process that receives SIGHUP
        When the process is busy, and then delivers its signals
        And the process sends itself SIGHUP
        Then the signal was sent after the process was busy

    Scenario: A signal that arrives after the first interval was not sent at the start of the process
        Given a process that receives SIGHUP
        When the process runs for more than an interval of its turn log
        And the process sends itself SIGHUP
        Then the signal was sent after the process began to receive signals
