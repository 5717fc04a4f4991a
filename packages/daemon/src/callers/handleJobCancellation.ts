import type { JobId } from "@balsamward/schema";
import { Outcome } from "@balsamward/schema";
import type { IncomingMessage } from "node:http";
import type { DaemonState } from "../DaemonState.js";
import { describeJob } from "../operations/describeJob.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { findJob } from "./findJob.js";
import { refuse } from "./refuse.js";
import type { ReplyWithKind } from "./Reply.js";

/**
 * Handles `DELETE /v1/jobs/{id}`, which cancels a job.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @param req - The HTTP request.
 * @param id - The job's id as the caller sent it, not yet validated.
 * @returns The reply; the outcome `completed` means that the cancellation is stored durably.
 *
 * @example
 * const { reply } = await handleJobCancellation(state, router, req, id);
 */
export async function handleJobCancellation(
    state: DaemonState,
    router: CellRouter,
    req: IncomingMessage,
    id: string,
): Promise<ReplyWithKind> {
    const found = await findJob(state, router, req, id);
    if (found.isErr()) {
        return { kind: "none", reply: found.error };
    }
    const { job, cell } = found.value;
    const { outcome, reason, job: cancelled } = await router.cancel(cell, job.id as JobId);
    if (outcome === Outcome.REFUSED) {
        const message = "The owner of the job's cell did not accept the cancellation. Try again.";
        return { kind: job.kind, reply: refuse(reason, message, { retryAfterMs: 1_000 }) };
    }
    const fields = cancelled === undefined ? {} : { job: describeJob(cancelled) };
    const status = outcome === Outcome.COMPLETED ? 202 : 504;
    return { kind: job.kind, reply: { outcome, reason, status, fields } };
}
