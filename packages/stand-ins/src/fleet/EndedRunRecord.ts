import type { EndedRun } from "@balsamward/scheduler";
import { formatTaskName } from "./formatTaskName.js";

/** What one incarnation of a fake worker remembers of runs that have ended or must not start any more. */
export class EndedRunRecord {
    /** The ended runs that the owner has not acknowledged, the oldest first. */
    private ends: readonly EndedRun[] = [];
    private lastEndNumber = 0;
    /** Highest run number by task that must not start any more. */
    private readonly highestRejectedRuns = new Map<string, number>();

    /** Adds an ended run under the next number; the task's runs up to it must not start any more. */
    add(end: Omit<EndedRun, "number">): void {
        this.rejectRunsUpTo(formatTaskName(end.task), end.run);
        this.lastEndNumber += 1;
        this.ends = [...this.ends, { ...end, number: this.lastEndNumber }];
    }

    /** Drops the ended runs up to a number, and returns how many it has dropped. */
    acknowledge(lastDurableEnd: number): number {
        const previousCount = this.ends.length;
        this.ends = this.ends.filter(end => end.number > lastDurableEnd);
        return previousCount - this.ends.length;
    }

    /**
     * Lists the ended runs that the owner has not acknowledged, the oldest first.
     *
     * @param maxCount - Maximum number of runs in the list.
     * @returns The runs, and whether they are all.
     */
    list(maxCount: number): { readonly ended: readonly EndedRun[]; readonly listsAllEnds: boolean } {
        return { ended: this.ends.slice(0, maxCount), listsAllEnds: this.ends.length <= maxCount };
    }

    /** Rejects later starts of a task's runs up to a number. */
    rejectRunsUpTo(task: string, run: number): void {
        this.highestRejectedRuns.set(task, Math.max(this.highestRejectedRuns.get(task) ?? 0, run));
    }

    /** Returns whether a run of a task must not start any more. */
    isRejected(task: string, run: number): boolean {
        return (this.highestRejectedRuns.get(task) ?? 0) >= run;
    }
}
