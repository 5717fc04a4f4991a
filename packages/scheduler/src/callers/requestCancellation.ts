import { CancellationRecordSchema, JobSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import type { JobId } from "../ids.js";
import { keys } from "../keys.js";
import { announceJob } from "./announceJob.js";
import { commitPersistently } from "./commitPersistently.js";
import type { Desk } from "./Desk.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Stores that a caller cancels a job, and tells the owner.
 *
 * @param desk - What answering needs.
 * @param id - The job.
 * @param customer - The caller; another customer's job is not found.
 * @param deadline - Steady time at which the caller stops waiting, in milliseconds.
 * @returns `cancelled` once it is stored, `no-such-job`, or a temporary refusal.
 */
export async function requestCancellation(
    desk: Desk,
    id: JobId,
    customer: string,
    deadline: number,
): Promise<Reply> {
    const item = await desk.store.read(keys.job(id));
    if (item.isErr()) {
        return refuse("store-unavailable", "The job cannot be read now. Come back later.");
    }
    const job = item.value === undefined ? undefined : fromBinary(JobSchema, item.value.value);
    if (item.value === undefined || job === undefined || job.customer !== customer) {
        return refuse("no-such-job", "No job has this id. Check the id.");
    }
    const record = create(CancellationRecordSchema, { job: id });
    const transaction = {
        expect: [{ key: keys.job(id), revision: item.value.revision }],
        puts: [{ key: keys.cancellation(id), value: toBinary(CancellationRecordSchema, record) }],
        removals: [],
    };
    const stored = await commitPersistently(desk, transaction, deadline);
    if (stored.isOk()) {
        announceJob(desk, job, item.value.revision, true);
        return { kind: "cancelled" };
    }
    switch (stored.error.kind) {
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
