import { Outcome } from "@balsamward/schema";
import { ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { DaemonState } from "../DaemonState.js";
import { describeJob } from "../operations/describeJob.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { authenticate } from "./authenticate.js";
import { claimSubmission } from "./claimSubmission.js";
import { findKind } from "./findKind.js";
import { planSubmission } from "./planSubmission.js";
import { readIdempotencyKey } from "./readIdempotencyKey.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import { refuseUnknownKind } from "./refuseUnknownKind.js";
import type { Reply, ReplyWithKind } from "./Reply.js";
import type { Submission } from "./Submission.js";

/**
 * Handles `POST /v1/jobs`, which submits a job.
 *
 * If the request has an idempotency key, the key is first claimed for the new job's id. A repeated request
 * to any daemon then submits the job under the same id to the same cell.
 *
 * @param state - The daemon's state.
 * @param router - The router to the owners of cells.
 * @param req - The HTTP request.
 * @returns The reply; the outcome `completed` means that the job is stored durably and will run.
 *
 * @example
 * const { reply } = await handleJobSubmission(state, router, req);
 */
export async function handleJobSubmission(
    state: DaemonState,
    router: CellRouter,
    req: IncomingMessage,
): Promise<ReplyWithKind> {
    const authenticatedCustomer = authenticate(state, req);
    if (authenticatedCustomer.isErr()) {
        return { kind: "none", reply: authenticatedCustomer.error };
    }
    const fields = await readRequestBody(req);
    if (fields.isErr()) {
        return { kind: "none", reply: fields.error };
    }
    const kindName = String(fields.value["kind"] ?? "");
    const kind = findKind(authenticatedCustomer.value, kindName);
    if (kind === undefined) {
        return { kind: "none", reply: refuseUnknownKind() };
    }
    const plannedSubmission = planSubmission(state, {
        authenticatedCustomer: authenticatedCustomer.value,
        kind,
        kindName,
        fields: fields.value,
    });
    if (plannedSubmission.isErr()) {
        return { kind: kindName, reply: plannedSubmission.error };
    }
    const idempotencyKey = readIdempotencyKey(req, kind);
    if (idempotencyKey.isErr()) {
        return { kind: kindName, reply: idempotencyKey.error };
    }
    const claimedSubmission = idempotencyKey.value === undefined
        ? ok(plannedSubmission.value)
        : await claimSubmission(
            state,
            authenticatedCustomer.value.customer,
            idempotencyKey.value,
            plannedSubmission.value,
            JSON.stringify(fields.value),
        );
    if (claimedSubmission.isErr()) {
        return { kind: kindName, reply: claimedSubmission.error };
    }
    return { kind: kindName, reply: await forwardSubmission(router, claimedSubmission.value) };
}

async function forwardSubmission(router: CellRouter, submission: Submission): Promise<Reply> {
    const { outcome, reason, job } = await router.submit(submission.cell, submission.job);
    switch (outcome) {
        case Outcome.COMPLETED:
            return { outcome, reason, status: 202, fields: { job: describeJob(job ?? submission.job) } };
        case Outcome.REFUSED:
            return refuse(reason, "The job's cell accepts no jobs at the moment. Try again.", {
                retryAfterMs: 1_000,
            });
        default: {
            const message = `The job may have been accepted as '${submission.job.id}'. `
                + "Send it again with the same key, or query it by this id.";
            return { outcome: Outcome.UNKNOWN, reason, status: 504, message };
        }
    }
}
