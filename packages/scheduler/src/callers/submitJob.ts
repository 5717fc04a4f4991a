import type { Job } from "@balsamward/schema/scheduling";
import { JobSchema } from "@balsamward/schema/scheduling";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { agreeWallClock } from "../cluster/agreeWallClock.js";
import type { StoreItem } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { CallContext } from "./CallContext.js";
import { commitWithRetries } from "./commitWithRetries.js";
import { notifyOwner } from "./notifyOwner.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Stores a submitted job, once for each id.
 *
 * The write expects the job to be absent, so that sending it again after a lost answer is safe: it
 * conflicts with the first one if that took effect.
 *
 * @param context - What answering needs.
 * @param submittedJob - The job.
 * @param deadline - Steady time at which the caller stops waiting, in milliseconds.
 * @returns `accepted` once the job is stored; a refusal other than `unclear` means that it is not.
 */
export async function submitJob(context: CallContext, submittedJob: Job, deadline: number): Promise<Reply> {
    const job = { ...submittedJob, acceptedAtMs: agreeWallClock(context.cluster) };
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
            return refuse("bad-job", "The store does not take the job. Make it smaller.");
        case "unclear":
            return refuse("unclear", "The job may be stored or not. Send it again under the same id.");
        case "unavailable":
        case "compacted":
        case "lease-ended":
            return refuse("store-unavailable", "The job is not stored and will not run. Come back later.");
    }
}

function resolveIdConflict(context: CallContext, job: Job, item: StoreItem | undefined): Reply {
    if (item === undefined) {
        return refuse("unclear", "The job may be stored or not. Send it again under the same id.");
    }
    const existing = fromBinary(JobSchema, item.value);
    if (existing.customer !== job.customer || existing.digest !== job.digest) {
        return refuse("other-job", "Another job has this id. Choose a new id.");
    }
    notifyOwner(context, existing, item.revision, false);
    return { kind: "accepted" };
}
