import type { Run } from "../../state/JobEntry.js";

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
    run.task.step.job.hasStarted = true;
    run.confirmedAt = now;
    run.progressedAt = now;
    if (run.phase === "starting") {
        run.phase = "running";
    }
}
