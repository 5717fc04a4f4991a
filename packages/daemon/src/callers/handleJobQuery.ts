import { Outcome, Reason } from "@balsamward/schema";
import type { IncomingMessage } from "node:http";
import type { DaemonState } from "../DaemonState.js";
import { describeJob } from "../operations/describeJob.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { findJob } from "./findJob.js";
import type { ReplyWithKind } from "./Reply.js";

/**
 * Handles `GET /v1/jobs/{id}`, which describes a job.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @param req - The HTTP request.
 * @param id - The job's id as the caller sent it, not yet validated.
 * @returns The reply; a job of another customer is reported as not found.
 *
 * @example
 * const { reply } = await handleJobQuery(state, router, req, id);
 */
export async function handleJobQuery(
    state: DaemonState,
    router: CellRouter,
    req: IncomingMessage,
    id: string,
): Promise<ReplyWithKind> {
    const found = await findJob(state, router, req, id);
    if (found.isErr()) {
        return { kind: "none", reply: found.error };
    }
    const { job, explanation } = found.value;
    const fields = { job: { ...describeJob(job), waits_for: explanation === "" ? undefined : explanation } };
    return {
        kind: job.kind,
        reply: { outcome: Outcome.COMPLETED, reason: Reason.NONE, status: 200, fields },
    };
}
