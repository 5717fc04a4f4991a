import type { Candidate } from "@balsamward/placement";
import { planPlacement } from "@balsamward/placement";
import type { CustomerId, Job, JobId } from "@balsamward/schema";
import type { CellBook } from "./CellBook.js";
import { isQueued, urgencyOf } from "./rebuildCell.js";
import { enterPlan, startGang } from "./startGang.js";

/**
 * Places the queued jobs of a cell, the most urgent and then the oldest first.
 *
 * @param book - The book.
 *
 * @example
 * scheduleJobs(book);
 */
export function scheduleJobs(book: CellBook): void {
    const queued = [...book.jobs.values()]
        .filter(isQueued)
        .sort((left, right) =>
            urgencyOf(book, right) - urgencyOf(book, left) || Number(left.submittedAtMs - right.submittedAtMs)
        );
    for (const job of queued) {
        const plan = planPlacement(book.cell, candidateOf(book, job));
        if (plan.isOk()) {
            const victims = enterPlan(book, job, plan.value);
            book.tasks.start(() => startGang(book, job, victims));
        }
    }
}

/**
 * Returns a job as the placement package sees it.
 *
 * @param book - The book, for the job's kind.
 * @param job - The job.
 * @returns The candidate.
 *
 * @example
 * planPlacement(book.cell, candidateOf(book, job));
 */
export function candidateOf(book: CellBook, job: Job): Candidate {
    const shape = job.shape!;
    return {
        job: job.id as JobId,
        customer: job.customer as CustomerId,
        shape: {
            members: shape.members,
            acceleratorsPerMember: shape.acceleratorsPerMember,
            adjacency: shape.adjacency,
        },
        urgency: urgencyOf(book, job),
        preemptible: book.context.configured()?.document.kind[job.kind]?.preemptible ?? true,
    };
}
