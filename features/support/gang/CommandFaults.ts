/** A fault injected at one command to a worker. */
export type CommandFault =
    /** The worker and its tasks die before the command arrives. */
    | "worker dies"
    /** The worker does not receive the command. */
    | "command lost"
    /** The worker executes the command, and its response is lost. */
    | "answer lost"
    /** The owner dies before the command; a new owner takes the cell over once the lease has ended. */
    | "owner dies"
    /** The owner is paused before the command, and resumes after a new owner has taken the cell over. */
    | "owner paused";

/** Counts the commands to workers, renewals aside, and injects a fault at one of them. */
export class CommandFaults {
    private commandCount = 0;
    private scheduledFault: { readonly at: number; readonly kind: CommandFault } | undefined;

    /** Schedules a fault at the `at`-th command from now, counted from 1. */
    schedule(kind: CommandFault, at: number): void {
        this.commandCount = 0;
        this.scheduledFault = { at, kind };
    }

    /** Counts a command, and returns the fault scheduled for it, if any. */
    take(): CommandFault | undefined {
        this.commandCount += 1;
        if (this.scheduledFault?.at !== this.commandCount) {
            return undefined;
        }
        const { kind } = this.scheduledFault;
        this.scheduledFault = undefined;
        return kind;
    }
}
