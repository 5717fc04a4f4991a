import { JobSchema, JobState, ProgressSchema } from "@balsamward/schema/scheduling";
import { fromBinary } from "@bufbuild/protobuf";
import type { KnownJob } from "../cluster/serveCluster.js";
import { PEER_CALL_TIMEOUT_MS } from "../constants.js";
import type { JobId } from "../ids.js";
import { keys } from "../keys.js";
import type { Desk } from "./Desk.js";
import type { CallerState, Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Returns the state of a job: from the owner, or from the store if the owner does not know it.
 *
 * @param desk - What answering needs.
 * @param id - The job.
 * @param customer - The caller; another customer's job is not shown.
 * @returns The state, `no-such-job`, or `store-unavailable` if nobody who knows is reached.
 */
export async function describeJob(desk: Desk, id: JobId, customer: string): Promise<Reply> {
    const known = await askOwner(desk, id) ?? await readStored(desk, id);
    if (known === "unavailable") {
        return refuse("store-unavailable", "The job's state cannot be read now. Come back later.");
    }
    if (known === undefined || known.customer !== customer) {
        return refuse("no-such-job", "No job has this id. Check the id.");
    }
    return { kind: "state", state: toCallerState(known.state) };
}

async function askOwner(desk: Desk, id: JobId): Promise<KnownJob | undefined> {
    const own = desk.ownerDesk();
    if (own !== undefined) {
        return own.describeJob(id);
    }
    const owner = desk.cluster.peers.get(desk.cluster.owner?.address ?? "");
    if (owner === undefined || owner.refusedConnections > 0) {
        return undefined;
    }
    try {
        const answer = await owner.client.calls.describeJob({ job: id }, { timeoutMs: PEER_CALL_TIMEOUT_MS });
        return answer.owner && answer.known ? answer : undefined;
    }
    catch (error) {
        desk.cluster.metrics.peerCalls.inc({ call: "describe", result: "failed" });
        desk.cluster.log.debug("The owner does not describe a job.", { job: id, error: String(error) });
        return undefined;
    }
}

async function readStored(desk: Desk, id: JobId): Promise<KnownJob | "unavailable" | undefined> {
    const [job, progress, cancellation] = await Promise.all([
        desk.store.read(keys.job(id)),
        desk.store.read(keys.progress(id)),
        desk.store.read(keys.cancellation(id)),
    ]);
    if (job.isErr() || progress.isErr() || cancellation.isErr()) {
        return "unavailable";
    }
    if (job.value === undefined) {
        return undefined;
    }
    const { customer } = fromBinary(JobSchema, job.value.value);
    const stored = progress.value === undefined
        ? undefined
        : fromBinary(ProgressSchema, progress.value.value);
    const state = stored?.state ?? JobState.QUEUED;
    const isCancelled = cancellation.value !== undefined && state !== JobState.COMPLETED
        && state !== JobState.FAILED;
    return { customer, state: isCancelled ? JobState.CANCELLED : state };
}

function toCallerState(state: JobState): CallerState {
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
