import type { Job } from "@balsamward/schema/scheduling";
import { CancellationRecordSchema, JobSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { JobId } from "../ids.js";
import type { StoreError } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import { awaitWithinBounds } from "./awaitWithinBounds.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import { commitWithRetries } from "./commitWithRetries.js";
import { notifyOwner } from "./notifyOwner.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";
import type { UnstoredJob } from "./withdrawSubmission.js";
import { withdrawSubmission } from "./withdrawSubmission.js";

/** Reply to an attempt to cancel a job; `outdated` if what the attempt has read has changed since. */
type AttemptReply = Reply | "outdated";

/**
 * Stores the cancellation of a job and notifies the owner. After either acknowledgement the job does not run: one
 * that is not stored is withdrawn, so that a submission which is still on its way does not store it either.
 *
 * @param context - The services that the call uses.
 * @param id - Id of the job.
 * @param customer - The calling customer; jobs of other customers are reported as missing.
 * @param bounds - The deadline, and the signal on which the call is answered by what is known.
 * @returns `cancelled` once the cancellation is stored, or a refusal: `no-such-job` once the withdrawal is stored,
 * `store-unavailable` or `unclear`.
 */
export async function requestCancellation(
    context: CallContext,
    id: JobId,
    customer: string,
    bounds: CallBounds,
): Promise<Reply> {
    let reply: AttemptReply;
    do {
        reply = await attemptCancellation(context, id, customer, bounds);
    }
    while (reply === "outdated" && context.cluster.clock() < bounds.deadline);
    return reply === "outdated"
        ? refuse("store-unavailable", "The job changes all the time. It is not cancelled. Send it again.")
        : reply;
}

async function attemptCancellation(
    context: CallContext,
    id: JobId,
    customer: string,
    bounds: CallBounds,
): Promise<AttemptReply> {
    const read = context.store.read(storeKeys.job(id));
    const item = await awaitWithinBounds(context, read, bounds, () => undefined);
    if (item === undefined || item.isErr()) {
        return refuse("store-unavailable", "The job cannot be read from the store. Try again later.");
    }
    const job = item.value === undefined ? undefined : fromBinary(JobSchema, item.value.value);
    const revision = item.value?.revision ?? 0;
    return job?.customer === customer
        ? cancelStoredJob(context, job, revision, bounds)
        : cancelUnstoredJob(context, { id, customer, otherRevision: revision }, bounds);
}

async function cancelStoredJob(
    context: CallContext,
    job: Job,
    revision: number,
    bounds: CallBounds,
): Promise<AttemptReply> {
    const record = create(CancellationRecordSchema, { job: job.id });
    const committed = await commitWithRetries(context, {
        expect: [{ key: storeKeys.job(job.id), revision }],
        puts: [{ key: storeKeys.cancellation(job.id), value: toBinary(CancellationRecordSchema, record) }],
        removals: [],
    }, bounds);
    if (committed.isErr()) {
        return resolveError(committed.error);
    }
    notifyOwner(context, job, revision, true);
    return { kind: "cancelled" };
}

async function cancelUnstoredJob(
    context: CallContext,
    job: UnstoredJob,
    bounds: CallBounds,
): Promise<AttemptReply> {
    const withdrawn = await withdrawSubmission(context, job, bounds);
    if (withdrawn.isErr()) {
        return resolveError(withdrawn.error);
    }
    context.cluster.log.info("A job that is not stored is withdrawn.", {
        job: job.id,
        customer: job.customer,
        revision: withdrawn.value,
    });
    return refuse(
        "no-such-job",
        "No job of this caller has this id, and none is accepted under it for some minutes. Check the id.",
    );
}

function resolveError(error: StoreError): AttemptReply {
    switch (error.kind) {
        case "conflict":
        case "lease-ended":
            return "outdated";
        case "unclear":
            return refuse("unclear", "It is unknown whether the cancellation is stored. Send it again.");
        case "unavailable":
        case "compacted":
        case "invalid":
            return refuse("store-unavailable", "The cancellation is not stored. Try again later.");
    }
}
