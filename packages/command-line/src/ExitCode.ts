/** Exit codes of the command. */
export enum ExitCode {
    /** Done as asked. */
    Success = 0,
    /** The work ran and failed. */
    Failed = 1,
    /** Arguments, settings or a document are wrong. */
    BadInput = 2,
    /** Refused; nothing ran or changed. */
    Refused = 3,
    /** Whether it ran is not known. */
    OutcomeUnknown = 4,
}
