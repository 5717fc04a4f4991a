Feature: Store entries that do not describe a worker are ignored, counted and logged once

    Scenario: An ignored entry is counted, and logged once as long as it is listed
        Given a store with the worker entries "sound odd-1 sound-2 odd-2"
        When the workers are listed 3 times
        Then the listed workers are "sound sound-2"
        And 2 ignored worker entries are counted
        And the warnings name "odd-1 odd-2"

    Scenario: An entry that causes an unexpected error of the decoder is ignored like the others
        Given a store with the worker entries "odd-error sound odd-1 sound-2"
        When the workers are listed 3 times
        Then the listed workers are "sound sound-2"
        And 2 ignored worker entries are counted
        And the warnings name "odd-error odd-1"

    Scenario: An entry that was removed meanwhile is logged again
        Given a store with the worker entries "odd-1"
        When the workers are listed 1 time
        And the worker entry "odd-1" is removed
        And the workers are listed 1 time
        Then 0 ignored worker entries are counted
        When the worker entry "odd-1" is added
        And the workers are listed 2 times
        Then the warnings name "odd-1 odd-1"

    Scenario: The number of logged entries is limited
        Given a store with 1000 odd worker entries
        When the workers are listed 2 times
        Then 1000 ignored worker entries are counted
        And 100 warnings are logged
