import type { Run } from "../../state/JobEntry.js";
import { markStarted } from "./markStarted.js";

/**
 * Marks a run as confirmed by its worker; a confirmed run stays unchanged.
 *
 * @param run - The run.
 * @param now - Monotonic time in milliseconds.
 */
export function confirmRun(run: Run, now: number): void {
    if (run.isConfirmed) {
        return;
    }
    run.isConfirmed = true;
    markStarted(run.task.step.job);
    run.confirmedAt = now;
    run.progressedAt = now;
    if (run.phase === "starting") {
        run.phase = "running";
    }
}
