import type { Job } from "@balsamward/schema";
import { Adjacency, JobStage, Outcome, outcomeName, Reason, reasonName, Standing } from "@balsamward/schema";

const MS_PER_HOUR = 3_600_000;

/**
 * Describes a job for people and for JSON.
 *
 * @param job - The job.
 * @returns The job's fields; times in milliseconds since the epoch, usage in accelerator-hours.
 *
 * @example
 * describeJob(job).stage; // "running"
 */
export function describeJob(job: Job) {
    const open = job.grants.reduce((sum, grant) => sum + grant.heldMs, 0n);
    const guaranteed = job.guaranteedHeldMs + (job.standing === Standing.GUARANTEED ? open : 0n);
    const borrowed = job.borrowedHeldMs + (job.standing === Standing.GUARANTEED ? 0n : open);
    return {
        id: job.id,
        customer: job.customer,
        kind: job.kind,
        stage: textOf(JobStage[job.stage]),
        standing: job.standing === Standing.UNSPECIFIED ? undefined : textOf(Standing[job.standing]),
        members: job.shape?.members ?? 0,
        accelerators_per_member: job.shape?.acceleratorsPerMember ?? 0,
        adjacency: textOf(Adjacency[job.shape?.adjacency ?? Adjacency.UNSPECIFIED]),
        attempts: job.attempts,
        outcome: job.outcome === Outcome.UNSPECIFIED ? undefined : outcomeName(job.outcome),
        reason: job.reason === Reason.UNSPECIFIED ? undefined : reasonName(job.reason),
        submitted_at_ms: Number(job.submittedAtMs),
        started_at_ms: Number(job.startedAtMs) || undefined,
        ended_at_ms: Number(job.endedAtMs) || undefined,
        workers: job.grants.map(grant => grant.worker),
        guaranteed_hours: Number(guaranteed) / MS_PER_HOUR,
        borrowed_hours: Number(borrowed) / MS_PER_HOUR,
    };
}

function textOf(name: string): string {
    return name.toLowerCase().replaceAll("_", "-");
}
