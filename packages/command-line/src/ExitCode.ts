/** Exit codes of the 'balsamward' command. */
export enum ExitCode {
    /** The command succeeded. */
    Success = 0,
    /** The work ran and failed, or no log line refers to the request to explain. */
    Failed = 1,
    /** An argument, the settings or a document is invalid. */
    BadInput = 2,
    /** The request was refused; nothing ran or changed. */
    Refused = 3,
    /** The outcome is unknown: the request may or may not have taken effect, or a report is incomplete. */
    OutcomeUnknown = 4,
}
