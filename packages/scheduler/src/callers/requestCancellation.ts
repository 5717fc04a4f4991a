import { CancellationRecordSchema, JobSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { awaitUnlessAborted } from "../awaitUnlessAborted.js";
import type { JobId } from "../ids.js";
import { storeKeys } from "../storeKeys.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import { commitWithRetries } from "./commitWithRetries.js";
import { notifyOwner } from "./notifyOwner.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Stores the cancellation of a job and notifies the owner.
 *
 * @param context - The services that the call uses.
 * @param id - Id of the job.
 * @param customer - The calling customer; jobs of other customers are reported as missing.
 * @param bounds - The deadline, and the signal on which the call is answered by what is known.
 * @returns `cancelled` once the cancellation is stored, or a refusal: `no-such-job`, `store-unavailable` or
 * `unclear`.
 */
export async function requestCancellation(
    context: CallContext,
    id: JobId,
    customer: string,
    bounds: CallBounds,
): Promise<Reply> {
    const item = await awaitUnlessAborted(
        context.store.read(storeKeys.job(id)),
        bounds.signal,
        () => undefined,
    );
    if (item === undefined) {
        return refuse("store-unavailable", "The daemon stops. The job is not cancelled. Send it again.");
    }
    if (item.isErr()) {
        return refuse("store-unavailable", "The job cannot be read from the store. Try again later.");
    }
    const job = item.value === undefined ? undefined : fromBinary(JobSchema, item.value.value);
    if (item.value === undefined || job === undefined || job.customer !== customer) {
        return refuse("no-such-job", "No job of this caller has this id. Check the id.");
    }
    const record = create(CancellationRecordSchema, { job: id });
    const transaction = {
        expect: [{ key: storeKeys.job(id), revision: item.value.revision }],
        puts: [{ key: storeKeys.cancellation(id), value: toBinary(CancellationRecordSchema, record) }],
        removals: [],
    };
    const commitResult = await commitWithRetries(context, transaction, bounds);
    if (commitResult.isOk()) {
        notifyOwner(context, job, item.value.revision, true);
        return { kind: "cancelled" };
    }
    switch (commitResult.error.kind) {
        case "conflict":
            return refuse(
                "no-such-job",
                "The job has been removed from the store. There is nothing left to cancel.",
            );
        case "unclear":
            return refuse("unclear", "It is unknown whether the cancellation is stored. Send it again.");
        case "unavailable":
        case "compacted":
        case "lease-ended":
        case "invalid":
            return refuse("store-unavailable", "The cancellation is not stored. Try again later.");
    }
}
