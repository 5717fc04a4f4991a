import type { JobEntry, TermsSource } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";
import type { AppliedTerms, TermsFinder } from "./createTermsFinder.js";

/**
 * Follows whether the queues of the active jobs are configured: logs each change for a job, counts the jobs without a
 * queue, and remembers the terms of a queue for jobs that were accepted without terms.
 *
 * @param scheduler - The scheduler.
 * @param findTerms - Finds the terms that apply to a job.
 */
export function followQueues(scheduler: Scheduler, findTerms: TermsFinder): void {
    const counts = new Map<TermsSource, number>();
    for (const entry of scheduler.activeJobs) {
        const applied = findTerms(entry);
        counts.set(applied.source, (counts.get(applied.source) ?? 0) + 1);
        followQueue(scheduler, entry, applied);
    }
    const { jobsWithoutQueue } = scheduler.metrics;
    jobsWithoutQueue.reset();
    for (const [terms, count] of counts) {
        if (terms !== "configured" && terms !== "newer") {
            jobsWithoutQueue.set({ terms }, count);
        }
    }
}

function followQueue(scheduler: Scheduler, entry: JobEntry, { source, terms }: AppliedTerms): void {
    if (source === "configured" && entry.acceptedTerms === undefined) {
        entry.lastTerms = terms;
    }
    if (source === entry.termsSource) {
        return;
    }
    entry.termsSource = source;
    const details = { job: entry.id, queue: entry.queue, terms: source, service: terms?.service };
    switch (source) {
        case "configured":
            scheduler.log.info("The queue of a job is configured now.", details);
            return;
        case "newer":
            scheduler.log.info("A job was accepted under a newer configuration.", {
                ...details,
                version: entry.job.termsVersion,
            });
            return;
        case "accepted":
        case "last-known":
        case "assumed":
        case "none":
            scheduler.log.warn("The queue of a job is not configured.", details);
            return;
        default:
            source satisfies never;
    }
}
