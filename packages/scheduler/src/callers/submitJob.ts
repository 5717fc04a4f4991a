import type { Job } from "@balsamward/schema/scheduling";
import { JobSchema } from "@balsamward/schema/scheduling";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { getMedianWallClockMs } from "../cluster/getMedianWallClockMs.js";
import { keys } from "../keys.js";
import type { StoreItem } from "../ports/FleetStore.js";
import { announceJob } from "./announceJob.js";
import { commitPersistently } from "./commitPersistently.js";
import type { Desk } from "./Desk.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Stores a submitted job, once for each id.
 *
 * The write expects the job to be absent, so that sending it again after a lost answer is safe: it
 * conflicts with the first one if that took effect.
 *
 * @param desk - What answering needs.
 * @param submission - The job.
 * @param deadline - Steady time at which the caller stops waiting, in milliseconds.
 * @returns `accepted` once the job is stored; a refusal other than `unclear` means that it is not.
 */
export async function submitJob(desk: Desk, submission: Job, deadline: number): Promise<Reply> {
    const job = { ...submission, acceptedAtMs: getMedianWallClockMs(desk.cluster) };
    const transaction = {
        expect: [{ key: keys.job(job.id), revision: 0 }],
        puts: [{ key: keys.job(job.id), value: toBinary(JobSchema, job) }],
        removals: [],
    };
    const stored = await commitPersistently(desk, transaction, deadline);
    if (stored.isOk()) {
        announceJob(desk, job, stored.value, false);
        return { kind: "accepted" };
    }
    const { error } = stored;
    switch (error.kind) {
        case "conflict":
            return judgePresent(desk, job, error.items[0]);
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

function judgePresent(desk: Desk, job: Job, item: StoreItem | undefined): Reply {
    if (item === undefined) {
        return refuse("unclear", "The job may be stored or not. Send it again under the same id.");
    }
    const present = fromBinary(JobSchema, item.value);
    if (present.customer !== job.customer || present.digest !== job.digest) {
        return refuse("other-job", "Another job has this id. Choose a new id.");
    }
    announceJob(desk, present, item.revision, false);
    return { kind: "accepted" };
}
