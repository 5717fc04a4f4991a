import type { Job } from "@balsamward/schema/scheduling";
import { JobSchema } from "@balsamward/schema/scheduling";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { getMedianWallClockMs } from "../cluster/getMedianWallClockMs.js";
import type { Queue } from "../FleetConfiguration.js";
import type { StoreError, StoreItem, StoreTransaction } from "../ports/FleetStore.js";
import { encodeQueueTerms } from "../state/encodeQueueTerms.js";
import { storeKeys } from "../storeKeys.js";
import type { CallBounds } from "./CallBounds.js";
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
 * The write also expects that no term has begun after the latest one this daemon knows, and stores that term with the
 * job: an owner may then conclude from a job of its own term that no other owner has started it. After a conflict with
 * a newer term, the write is sent again for that term; earlier sends can no longer take effect, since the term's
 * record never returns to an earlier revision.
 *
 * The write expects, too, that the customer has not withdrawn the job by cancelling it before it was stored.
 *
 * @param context - The services that the call uses.
 * @param submittedJob - The job to store; its time, its term of ownership and the terms of its queue are set by this
 * function.
 * @param queue - The queue of the job. Its terms are stored with the job, which keeps them if the queue is removed.
 * @param bounds - The deadline, and the signal on which the call is answered by what is known.
 * @returns `accepted` once the job is stored, or a refusal: `bad-job`, `other-job`, `withdrawn`, `store-unavailable` or
 * `unclear`. Only `unclear` leaves open whether the job is stored.
 */
export async function submitJob(
    context: CallContext,
    submittedJob: Job,
    queue: Queue,
    bounds: CallBounds,
): Promise<Reply> {
    const storedTerms = composeStoredTerms(context, queue);
    const acceptedAtMs = getMedianWallClockMs(context.cluster);
    let termRevision = context.cluster.owner?.revision ?? 0;
    while (true) {
        const job = { ...submittedJob, ...storedTerms, acceptedAtMs, termRevision };
        const commitResult = await commitWithRetries(context, composeAcceptance(job, termRevision), bounds);
        if (commitResult.isOk()) {
            notifyOwner(context, job, commitResult.value, false);
            return { kind: "accepted" };
        }
        const currentTermRevision = findOtherTerm(job, termRevision, commitResult.error);
        if (currentTermRevision === undefined) {
            return resolveError(context, job, commitResult.error);
        }
        context.cluster.log.info("A job is stored for a newer term.", {
            job: job.id,
            knownTermRevision: termRevision,
            termRevision: currentTermRevision,
        });
        termRevision = currentTermRevision;
    }
}

/** The present terms of the queue are stored: its configuration may have changed while the caller's body arrived. */
function composeStoredTerms({ cluster }: CallContext, queue: Queue): Pick<Job, "terms" | "termsVersion"> {
    const configuration = cluster.configuration.current();
    const present = configuration?.queues.find(({ name }) => name === queue.name);
    return configuration === undefined || present === undefined
        ? { terms: encodeQueueTerms(queue) }
        : { terms: encodeQueueTerms(present), termsVersion: configuration.version };
}

function composeAcceptance(job: Job, termRevision: number): StoreTransaction {
    return {
        expect: [
            { key: storeKeys.job(job.id), revision: 0 },
            { key: storeKeys.withdrawal(job.id, job.customer), revision: 0 },
            { key: storeKeys.term, revision: termRevision },
        ],
        puts: [{ key: storeKeys.job(job.id), value: toBinary(JobSchema, job) }],
        removals: [],
    };
}

/** Returns the revision of the current term if that alone prevented the write, otherwise `undefined`. */
function findOtherTerm(job: Job, termRevision: number, error: StoreError): number | undefined {
    const otherKeys = [storeKeys.job(job.id), storeKeys.withdrawal(job.id, job.customer)];
    if (error.kind !== "conflict" || otherKeys.some(key => findItem(error.items, key) !== undefined)) {
        return undefined;
    }
    const currentRevision = findItem(error.items, storeKeys.term)?.revision ?? 0;
    return currentRevision === termRevision ? undefined : currentRevision;
}

function findItem(items: readonly StoreItem[], key: string): StoreItem | undefined {
    return items.find(item => item.key === key);
}

function resolveError(context: CallContext, job: Job, error: StoreError): Reply {
    switch (error.kind) {
        case "conflict":
            return resolveConflict(context, job, error.items);
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

/** Resolves a conflict that no other term explains; a job that is stored takes precedence over a withdrawal. */
function resolveConflict(context: CallContext, job: Job, items: readonly StoreItem[]): Reply {
    const stored = findItem(items, storeKeys.job(job.id));
    if (stored !== undefined) {
        return resolveIdConflict(context, job, stored);
    }
    return findItem(items, storeKeys.withdrawal(job.id, job.customer)) === undefined
        ? refuse("unclear", "It is unknown whether the job is stored. Send it again under the same id.")
        : refuse(
            "withdrawn",
            "The job was cancelled before it was stored, and does not run. Choose a new id to submit it after all.",
        );
}

function resolveIdConflict(context: CallContext, job: Job, item: StoreItem): Reply {
    const existing = fromBinary(JobSchema, item.value);
    if (existing.customer !== job.customer || existing.digest !== job.digest) {
        return refuse("other-job", "A different job already has this id. Choose a new id.");
    }
    notifyOwner(context, existing, item.revision, false);
    return { kind: "accepted" };
}
