import type { Job } from "@balsamward/schema";
import { Adjacency, JobStage, Outcome, outcomeName, Reason, reasonName, Standing } from "@balsamward/schema";

const MS_PER_HOUR = 3_600_000;

/**
 * Converts a job to the fields of its JSON description.
 *
 * @param job - The job.
 * @returns The fields; times are in milliseconds since the Unix epoch, usage is in accelerator-hours.
 *
 * @example
 * describeJob(job).stage; // "running"
 */
export function describeJob(job: Job) {
    const currentHeldMs = job.grants.reduce((sum, grant) => sum + grant.heldMs, 0n);
    const guaranteedMs = job.guaranteedHeldMs + (job.standing === Standing.GUARANTEED ? currentHeldMs : 0n);
    const borrowedMs = job.borrowedHeldMs + (job.standing === Standing.GUARANTEED ? 0n : currentHeldMs);
    return {
        id: job.id,
        customer: job.customer,
        kind: job.kind,
        stage: toKebabCase(JobStage[job.stage]),
        standing: job.standing === Standing.UNSPECIFIED ? undefined : toKebabCase(Standing[job.standing]),
        members: job.shape?.members ?? 0,
        accelerators_per_member: job.shape?.acceleratorsPerMember ?? 0,
        adjacency: toKebabCase(Adjacency[job.shape?.adjacency ?? Adjacency.UNSPECIFIED]),
        attempts: job.attempts,
        outcome: job.outcome === Outcome.UNSPECIFIED ? undefined : outcomeName(job.outcome),
        reason: job.reason === Reason.UNSPECIFIED ? undefined : reasonName(job.reason),
        submitted_at_ms: Number(job.submittedAtMs),
        started_at_ms: Number(job.startedAtMs) || undefined,
        ended_at_ms: Number(job.endedAtMs) || undefined,
        workers: job.grants.map(grant => grant.worker),
        guaranteed_hours: Number(guaranteedMs) / MS_PER_HOUR,
        borrowed_hours: Number(borrowedMs) / MS_PER_HOUR,
    };
}

function toKebabCase(name: string): string {
    return name.toLowerCase().replaceAll("_", "-");
}
