import type { CellId, Job, JobId } from "@balsamward/schema";
import { parseIdentifier, Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { authenticate } from "./authenticate.js";
import { cellOfJob } from "./cellOfJob.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** A job that belongs to the requesting customer. */
export type FoundJob = { readonly job: Job; readonly cell: CellId; readonly explanation: string };

/**
 * Authenticates a request and fetches one of the customer's jobs from the owner of its cell.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @param req - The request, which carries the bearer token.
 * @param id - The job's id as the caller sent it, not yet validated.
 * @returns The job, or the refusal; a job of another customer is reported as not found.
 *
 * @example
 * const found = await findJob(state, router, req, id);
 */
export async function findJob(
    state: DaemonState,
    router: CellRouter,
    req: IncomingMessage,
    id: string,
): Promise<Result<FoundJob, Reply>> {
    const notFound = refuse(Reason.NOT_FOUND, "The customer has no job with this id. Check the id.");
    const authenticated = authenticate(state, req);
    if (authenticated.isErr()) {
        return err(authenticated.error);
    }
    const parsedId = parseIdentifier<JobId>(id);
    if (parsedId.isErr()) {
        return err(notFound);
    }
    const cell = cellOfJob(parsedId.value);
    const response = await router.get(cell, parsedId.value);
    if (response === undefined) {
        const message = "The owner of the job's cell is unreachable. Try again.";
        return err(refuse(Reason.OWNER_UNREACHABLE, message, { retryAfterMs: 1_000 }));
    }
    return response.job === undefined || response.job.customer !== authenticated.value.customer
        ? err(notFound)
        : ok({ job: response.job, cell, explanation: response.explanation });
}
