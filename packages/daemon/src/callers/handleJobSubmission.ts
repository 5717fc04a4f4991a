import { claimIdempotencyKey, claimKey } from "@balsamward/coordination";
import type { CellId, Job, JobId } from "@balsamward/schema";
import { JobSchema, JobStage, Outcome, Reason, sha256Hex, Work } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { DaemonState } from "../DaemonState.js";
import { describeJob } from "../operations/describeJob.js";
import type { CellRouter } from "../peers/CellRouter.js";
import type { AuthenticatedCustomer } from "./authenticate.js";
import { authenticate } from "./authenticate.js";
import { cellOfJob } from "./cellOfJob.js";
import { chooseCell } from "./chooseCell.js";
import { ensureClaimLease } from "./ensureClaimLease.js";
import type { ReplyWithKind } from "./handleRequest.js";
import { findKind } from "./handleRequest.js";
import { parseJobFields } from "./parseJobFields.js";
import { readIdempotencyKey } from "./readIdempotencyKey.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

type Submission = { readonly cell: CellId; readonly job: Job };

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
    const plannedSubmission = planSubmission(state, authenticatedCustomer.value, kindName, fields.value);
    if (plannedSubmission.isErr()) {
        return {
            kind: findKind(authenticatedCustomer.value, kindName) ? kindName : "none",
            reply: plannedSubmission.error,
        };
    }
    const idempotencyKey = readIdempotencyKey(
        req,
        authenticatedCustomer.value.activeConfiguration.document.kind[kindName]!,
    );
    if (idempotencyKey.isErr()) {
        return { kind: kindName, reply: idempotencyKey.error };
    }
    const claimedSubmission = idempotencyKey.value === undefined
        ? ok(plannedSubmission.value)
        : await claimSubmission(
            state,
            authenticatedCustomer.value,
            idempotencyKey.value,
            plannedSubmission.value,
            JSON.stringify(fields.value),
        );
    if (claimedSubmission.isErr()) {
        return { kind: kindName, reply: claimedSubmission.error };
    }
    return { kind: kindName, reply: await forwardSubmission(router, claimedSubmission.value) };
}

function planSubmission(
    state: DaemonState,
    authenticatedCustomer: AuthenticatedCustomer,
    kindName: string,
    fields: { readonly [field: string]: unknown },
): Result<Submission, Reply> {
    const { customer, customerSettings, activeConfiguration } = authenticatedCustomer;
    const kind = findKind(authenticatedCustomer, kindName);
    if (kind === undefined) {
        return err(
            refuse(
                Reason.UNKNOWN_KIND,
                "The configuration has no such kind of work. Check the field 'kind'.",
            ),
        );
    }
    if (kind.work !== Work.JOB) {
        return err(
            refuse(Reason.WRONG_WORK, `The kind '${kindName}' is for requests. Send it to '/v1/requests'.`),
        );
    }
    const parsed = parseJobFields(fields);
    if (parsed.isErr()) {
        return err(parsed.error);
    }
    const { shape, runMs } = parsed.value;
    const acceleratorsNeeded = shape.members * shape.acceleratorsPerMember;
    if (acceleratorsNeeded > customerSettings.quotaAccelerators) {
        const message =
            `The job needs ${acceleratorsNeeded} accelerators; the quota is ${customerSettings.quotaAccelerators}. Request fewer.`;
        return err(refuse(Reason.QUOTA_EXCEEDED, message));
    }
    const summaries = listCellSummaries(state);
    const cell = chooseCell(activeConfiguration, summaries, { customer, kind, shape });
    if (cell === undefined) {
        const message = kind.preemptible
            ? "The job does not fit into any cell, even an empty one. Request fewer members or a looser adjacency."
            : "The kind is not preemptible and no guarantee of the customer fits the job. Request a smaller shape.";
        return err(refuse(Reason.SHAPE_IMPOSSIBLE, message));
    }
    const id = `${cell}-${randomUUID().replaceAll("-", "").slice(0, 20)}`;
    return ok({
        cell,
        job: create(JobSchema, {
            id,
            customer,
            kind: kindName,
            shape,
            declaredRunMs: BigInt(runMs),
            stage: JobStage.QUEUED,
            submittedAtMs: BigInt(Date.now()),
        }),
    });
}

function listCellSummaries(state: DaemonState) {
    const ownSummaries = [...state.ownedCells.values()].map(cell => cell.summarize());
    return [...ownSummaries, ...state.membership.freshHeartbeats().flatMap(heartbeat => heartbeat.cells)];
}

async function claimSubmission(
    state: DaemonState,
    authenticatedCustomer: AuthenticatedCustomer,
    idempotencyKey: string,
    submission: Submission,
    content: string,
): Promise<Result<Submission, Reply>> {
    const unavailable = refuse(
        Reason.STORE_UNAVAILABLE,
        "The store is unavailable, so the job was not accepted. Try again later.",
        { retryAfterMs: 2_000 },
    );
    const lease = await ensureClaimLease(state);
    if (lease === undefined) {
        return err(unavailable);
    }
    const claimed = await claimIdempotencyKey(state.store, {
        key: claimKey(state.environment, authenticatedCustomer.customer, idempotencyKey),
        requestDigest: sha256Hex(content),
        node: state.node,
        incarnation: state.incarnation,
        job: submission.job.id,
        lease,
    });
    if (claimed.isErr()) {
        return err(unavailable);
    }
    switch (claimed.value.kind) {
        case "claimed":
            return ok(submission);
        case "taken":
            return ok(replaceJobId(submission, claimed.value.claim.job as JobId));
        case "reused":
            return err(
                refuse(Reason.KEY_REUSED, "The idempotency key was used for a different job. Use a new key."),
            );
        default:
            return claimed.value satisfies never;
    }
}

function replaceJobId(submission: Submission, id: JobId): Submission {
    return { cell: cellOfJob(id), job: { ...submission.job, id } };
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
