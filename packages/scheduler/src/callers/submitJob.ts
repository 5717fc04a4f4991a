import type { Job } from "@balsamward/schema/scheduling";
import { JobSchema } from "@balsamward/schema/scheduling";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { getMedianWallClockMs } from "../cluster/getMedianWallClockMs.js";
import type { StoreItem } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { CallContext } from "./CallContext.js";
import { commitWithRetries } from "./commitWithRetries.js";
import { notifyOwner } from "./notifyOwner.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Stores a submitted job, at most once for each id.
 *
 * The write expects the job's key to be absent. Sending it again after a lost answer is therefore safe: it
 * conflicts with the first write if that one was committed.
 *
 * @param context - The services that the call uses.
 * @param submittedJob - The job to store; its time of acceptance is set by this function.
 * @param deadline - Monotonic time at which the caller stops waiting, in milliseconds.
 * @returns `accepted` once the job is stored, or a refusal: `bad-job`, `other-job`, `store-unavailable` or
 * `unclear`. Only `unclear` leaves open whether the job is stored.
 */
export async function submitJob(context: CallContext, submittedJob: Job, deadline: number): Promise<Reply> {
    const job = { ...submittedJob, acceptedAtMs: getMedianWallClockMs(context.cluster) };
    const transaction = {
        expect: [{ key: storeKeys.job(job.id), revision: 0 }],
        puts: [{ key: storeKeys.job(job.id), value: toBinary(JobSchema, job) }],
        removals: [],
    };
    const commitResult = await commitWithRetries(context, transaction, deadline);
    if (commitResult.isOk()) {
        notifyOwner(context, job, commitResult.value, false);
        return { kind: "accepted" };
    }
    const { error } = commitResult;
    switch (error.kind) {
        case "conflict":
            return resolveIdConflict(context, job, error.items[0]);
        case "invalid":
            return refuse("bad-job", "The store rejects the job. Submit a smaller job.");
        case "unclear":
            return refuse(
                "unclear",
                "It is unknown whether the job is stored. Send it again under the same id.",
            );
        case "unavailable":
        case "compacted":
        case "lease-ended":
            return refuse("store-unavailable", "The job is not stored and will not run. Try again later.");
    }
}

function resolveIdConflict(context: CallContext, job: Job, item: StoreItem | undefined): Reply {
    if (item === undefined) {
        return refuse("unclear", "It is unknown whether the job is stored. Send it again under the same id.");
    }
    const existing = fromBinary(JobSchema, item.value);
    if (existing.customer !== job.customer || existing.digest !== job.digest) {
        return refuse("other-job", "A different job already has this id. Choose a new id.");
    }
    notifyOwner(context, existing, item.revision, false);
    return { kind: "accepted" };
}
