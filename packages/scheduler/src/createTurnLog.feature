Feature: Input that a suspended process handles late is known to be old

    # A stop outlasted the grace period: it counted the time from the signal's arrival, not from its sending.
    Scenario Outline: A signal that is handled after a suspension may have been sent at its begin
        Given a process that notes its turns at "<turns>" ms
        Then a signal that is handled at <handled> ms was sent after <sent> ms

        Examples:
            | turns            | handled | sent |
            | 0                | 40      | 0    |
            | 0 100 200        | 250     | 100  |
            | 0 100 200 5200   | 5201    | 200  |
