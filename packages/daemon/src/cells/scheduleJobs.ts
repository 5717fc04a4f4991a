import type { Candidate } from "@balsamward/placement";
import { planPlacement } from "@balsamward/placement";
import type { CustomerId, Job, JobId } from "@balsamward/schema";
import { applyPlan } from "./applyPlan.js";
import type { CellRuntime } from "./CellRuntime.js";
import { getUrgency, isQueued } from "./rebuildCell.js";
import { startGang } from "./startGang.js";

/**
 * Starts the queued jobs of a cell that can be placed, in order of urgency and then of submission.
 *
 * @param runtime - The cell's runtime.
 *
 * @example
 * scheduleJobs(runtime);
 */
export function scheduleJobs(runtime: CellRuntime): void {
    const queued = [...runtime.jobs.values()]
        .filter(isQueued)
        .sort((left, right) =>
            getUrgency(runtime, right) - getUrgency(runtime, left)
            || Number(left.submittedAtMs - right.submittedAtMs)
        );
    for (const job of queued) {
        const plan = planPlacement(runtime.cell, toCandidate(runtime, job));
        if (plan.isOk()) {
            const victims = applyPlan(runtime, job, plan.value);
            runtime.tasks.start(() => startGang(runtime, job, victims));
        }
    }
}

/**
 * Converts a job to a candidate of the placement package.
 *
 * @param runtime - The cell's runtime, which supplies the job's kind.
 * @param job - The job.
 * @returns The candidate.
 *
 * @example
 * planPlacement(runtime.cell, toCandidate(runtime, job));
 */
export function toCandidate(runtime: CellRuntime, job: Job): Candidate {
    const shape = job.shape!;
    return {
        job: job.id as JobId,
        customer: job.customer as CustomerId,
        shape: {
            members: shape.members,
            acceleratorsPerMember: shape.acceleratorsPerMember,
            adjacency: shape.adjacency,
        },
        urgency: getUrgency(runtime, job),
        preemptible: runtime.context.getActiveConfiguration()?.document.kind[job.kind]?.preemptible ?? true,
    };
}
