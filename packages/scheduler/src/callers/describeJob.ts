import { JobSchema, JobState, ProgressSchema } from "@balsamward/schema/scheduling";
import { fromBinary } from "@bufbuild/protobuf";
import type { KnownJob } from "../cluster/serveCluster.js";
import { PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { JobId } from "../ids.js";
import { storeKeys } from "../storeKeys.js";
import { awaitWithinBounds } from "./awaitWithinBounds.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import type { Reply, ReportedJobState } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Returns the state of a job, read from the owner, or from the store if the owner does not know the job.
 *
 * @param context - The services that the call uses.
 * @param id - Id of the job.
 * @param customer - The calling customer; jobs of other customers are reported as missing.
 * @param bounds - The deadline, and the signal on which the call is answered by what is known.
 * @returns The state, or a refusal: `no-such-job`, or `store-unavailable` if neither the owner nor the store
 * answers in time.
 */
export async function describeJob(
    context: CallContext,
    id: JobId,
    customer: string,
    bounds: CallBounds,
): Promise<Reply> {
    const known = await awaitWithinBounds(
        context,
        readJob(context, id),
        bounds,
        () => "unavailable" as const,
    );
    if (known === "unavailable") {
        return refuse("store-unavailable", "The job's state cannot be read from the store. Try again later.");
    }
    if (known === undefined || known.customer !== customer) {
        return refuse("no-such-job", "No job of this caller has this id. Check the id.");
    }
    return { kind: "state", state: toReportedState(known.state) };
}

async function readJob(context: CallContext, id: JobId): Promise<KnownJob | "unavailable" | undefined> {
    return await readFromOwner(context, id) ?? await readFromStore(context, id);
}

async function readFromOwner(context: CallContext, id: JobId): Promise<KnownJob | undefined> {
    const localOwner = context.localOwner();
    if (localOwner !== undefined) {
        return localOwner.describeJob(id);
    }
    const owner = context.cluster.peers.get(context.cluster.owner?.address ?? "");
    if (owner === undefined || owner.refusedConnections > 0) {
        return undefined;
    }
    try {
        const answer = await owner.client.calls.describeJob({ job: id }, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        return answer.owner && answer.known ? answer : undefined;
    }
    catch (error) {
        context.cluster.metrics.peerCalls.inc({ call: "describe", result: "failed" });
        context.cluster.log.debug("The state of a job cannot be read from the owner.", {
            job: id,
            error: String(error),
        });
        return undefined;
    }
}

async function readFromStore(context: CallContext, id: JobId): Promise<KnownJob | "unavailable" | undefined> {
    const [job, progress, cancellation] = await Promise.all([
        context.store.read(storeKeys.job(id)),
        context.store.read(storeKeys.progress(id)),
        context.store.read(storeKeys.cancellation(id)),
    ]);
    if (job.isErr() || progress.isErr() || cancellation.isErr()) {
        return "unavailable";
    }
    if (job.value === undefined) {
        return undefined;
    }
    const { customer } = fromBinary(JobSchema, job.value.value);
    const storedProgress = progress.value === undefined
        ? undefined
        : fromBinary(ProgressSchema, progress.value.value);
    const state = storedProgress?.state ?? JobState.QUEUED;
    const isCancelled = cancellation.value !== undefined && state !== JobState.COMPLETED
        && state !== JobState.FAILED;
    return { customer, state: isCancelled ? JobState.CANCELLED : state };
}

function toReportedState(state: JobState): ReportedJobState {
    switch (state) {
        case JobState.UNSPECIFIED:
        case JobState.QUEUED:
            return "queued";
        case JobState.RUNNING:
            return "running";
        case JobState.COMPLETED:
            return "completed";
        case JobState.FAILED:
            return "failed";
        case JobState.CANCELLED:
            return "cancelled";
    }
}
