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
import type { Authenticated } from "./authenticate.js";
import { authenticate } from "./authenticate.js";
import { cellOfJob } from "./cellOfJob.js";
import { chooseCell } from "./chooseCell.js";
import { ensureClaimLease } from "./ensureClaimLease.js";
import type { CountedReply } from "./handleRequest.js";
import { findKind } from "./handleRequest.js";
import { parseJobFields } from "./parseJobFields.js";
import { readIdempotencyKey } from "./readIdempotencyKey.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

type Submission = { readonly cell: CellId; readonly job: Job };

/**
 * Handles `POST /v1/jobs`.
 *
 * The idempotency key is claimed for the job's id first, so that a repeat on any daemon hands the
 * same job to the same cell.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @param req - The request.
 * @returns The answer; `completed` means that the job is durable and will run.
 *
 * @example
 * const { reply } = await handleSubmission(state, router, req);
 */
export async function handleSubmission(
    state: DaemonState,
    router: CellRouter,
    req: IncomingMessage,
): Promise<CountedReply> {
    const authenticated = authenticate(state, req);
    if (authenticated.isErr()) {
        return { kind: "none", reply: authenticated.error };
    }
    const fields = await readRequestBody(req);
    if (fields.isErr()) {
        return { kind: "none", reply: fields.error };
    }
    const kindName = String(fields.value["kind"] ?? "");
    const planned = planSubmission(state, authenticated.value, kindName, fields.value);
    if (planned.isErr()) {
        return { kind: findKind(authenticated.value, kindName) ? kindName : "none", reply: planned.error };
    }
    const key = readIdempotencyKey(req, authenticated.value.configured.document.kind[kindName]!);
    if (key.isErr()) {
        return { kind: kindName, reply: key.error };
    }
    const claimed = key.value === undefined
        ? ok(planned.value)
        : await claimSubmission(
            state,
            authenticated.value,
            key.value,
            planned.value,
            JSON.stringify(fields.value),
        );
    if (claimed.isErr()) {
        return { kind: kindName, reply: claimed.error };
    }
    return { kind: kindName, reply: await forwardSubmission(router, claimed.value) };
}

function planSubmission(
    state: DaemonState,
    authenticated: Authenticated,
    kindName: string,
    fields: { readonly [field: string]: unknown },
): Result<Submission, Reply> {
    const { customer, entry, configured } = authenticated;
    const kind = findKind(authenticated, kindName);
    if (kind === undefined) {
        return err(
            refuse(Reason.UNKNOWN_KIND, "The document has no such kind of work. Check the field 'kind'."),
        );
    }
    if (kind.work !== Work.JOB) {
        return err(
            refuse(Reason.WRONG_WORK, `'${kindName}' is a kind of request. Send it to '/v1/requests'.`),
        );
    }
    const parsed = parseJobFields(fields);
    if (parsed.isErr()) {
        return err(parsed.error);
    }
    const { shape, runMs } = parsed.value;
    const total = shape.members * shape.acceleratorsPerMember;
    if (total > entry.quotaAccelerators) {
        const message =
            `The job needs ${total} accelerators; the quota is ${entry.quotaAccelerators}. Ask for fewer.`;
        return err(refuse(Reason.QUOTA_EXCEEDED, message));
    }
    const summaries = listSummaries(state);
    const cell = chooseCell(configured, summaries, { customer, kind, shape });
    if (cell === undefined) {
        const message = kind.preemptible
            ? "No cell of the fleet can ever hold the shape. Ask for fewer members or a looser adjacency."
            : "The kind may not borrow and no guarantee of the customer fits. Ask for a smaller shape.";
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

function listSummaries(state: DaemonState) {
    const own = [...state.owned.values()].map(cell => cell.summarize());
    return [...own, ...state.membership.heartbeats().flatMap(heartbeat => heartbeat.cells)];
}

async function claimSubmission(
    state: DaemonState,
    authenticated: Authenticated,
    idempotencyKey: string,
    submission: Submission,
    content: string,
): Promise<Result<Submission, Reply>> {
    const unavailable = refuse(
        Reason.STORE_UNAVAILABLE,
        "The job cannot be claimed now. It was not accepted; try again later.",
        { retryAfterMs: 2_000 },
    );
    const lease = await ensureClaimLease(state);
    if (lease === undefined) {
        return err(unavailable);
    }
    const claimed = await claimIdempotencyKey(state.store, {
        key: claimKey(state.environment, authenticated.customer, idempotencyKey),
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
            return ok(renameSubmission(submission, claimed.value.claim.job as JobId));
        case "reused":
            return err(refuse(Reason.KEY_REUSED, "The key belongs to a different job. Use a new key."));
        default:
            return claimed.value satisfies never;
    }
}

function renameSubmission(submission: Submission, id: JobId): Submission {
    return { cell: cellOfJob(id), job: { ...submission.job, id } };
}

async function forwardSubmission(router: CellRouter, submission: Submission): Promise<Reply> {
    const { outcome, reason, job } = await router.submit(submission.cell, submission.job);
    switch (outcome) {
        case Outcome.COMPLETED:
            return { outcome, reason, status: 202, fields: { job: describeJob(job ?? submission.job) } };
        case Outcome.REFUSED:
            return refuse(reason, "The cell of the job takes no jobs now. Try again.", {
                retryAfterMs: 1_000,
            });
        default: {
            const message = `The job may have been accepted as '${submission.job.id}'. `
                + "Send it again with the same key, or ask for it.";
            return { outcome: Outcome.UNKNOWN, reason, status: 504, message };
        }
    }
}
