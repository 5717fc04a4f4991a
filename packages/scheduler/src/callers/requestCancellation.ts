import { CancellationRecordSchema, JobSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { JobId } from "../ids.js";
import { storeKeys } from "../storeKeys.js";
import type { CallContext } from "./CallContext.js";
import { commitWithRetries } from "./commitWithRetries.js";
import { notifyOwner } from "./notifyOwner.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Stores that a caller cancels a job, and tells the owner.
 *
 * @param context - What answering needs.
 * @param id - The job.
 * @param customer - The caller; another customer's job is not found.
 * @param deadline - Steady time at which the caller stops waiting, in milliseconds.
 * @returns `cancelled` once it is stored, `no-such-job`, or a temporary refusal.
 */
export async function requestCancellation(
    context: CallContext,
    id: JobId,
    customer: string,
    deadline: number,
): Promise<Reply> {
    const item = await context.store.read(storeKeys.job(id));
    if (item.isErr()) {
        return refuse("store-unavailable", "The job cannot be read now. Come back later.");
    }
    const job = item.value === undefined ? undefined : fromBinary(JobSchema, item.value.value);
    if (item.value === undefined || job === undefined || job.customer !== customer) {
        return refuse("no-such-job", "No job has this id. Check the id.");
    }
    const record = create(CancellationRecordSchema, { job: id });
    const transaction = {
        expect: [{ key: storeKeys.job(id), revision: item.value.revision }],
        puts: [{ key: storeKeys.cancellation(id), value: toBinary(CancellationRecordSchema, record) }],
        removals: [],
    };
    const commitResult = await commitWithRetries(context, transaction, deadline);
    if (commitResult.isOk()) {
        notifyOwner(context, job, item.value.revision, true);
        return { kind: "cancelled" };
    }
    switch (commitResult.error.kind) {
        case "conflict":
            return refuse("no-such-job", "The job is not kept any more. Nothing is left to cancel.");
        case "unclear":
            return refuse("unclear", "The cancellation may be stored or not. Send it again.");
        case "unavailable":
        case "compacted":
        case "lease-ended":
        case "invalid":
            return refuse("store-unavailable", "The cancellation is not stored. Come back later.");
    }
}
