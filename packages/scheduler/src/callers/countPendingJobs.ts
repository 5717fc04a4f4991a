import type { QueueDepth } from "@balsamward/schema/scheduling";
import type { Cluster } from "../cluster/Cluster.js";
import { exchangeHeartbeats } from "../cluster/runPeers.js";
import { MAX_QUEUE_DEPTHS_AGE_MS } from "../constants.js";
import type { CallContext } from "./CallContext.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/** Age up to which the owner is not asked for the queue depths again, in milliseconds. */
const NEW_QUEUE_DEPTHS_AGE_MS = 1_000;

/**
 * Returns the number of pending jobs of a queue: accepted jobs without a schedule that have not started.
 *
 * The number comes from this daemon if it is the owner, otherwise from a heartbeat of an owner that knew it. The
 * store is not read: it does not hold which tasks have started, and a new owner needs its capacity to load the state.
 *
 * @param context - The services that the call uses.
 * @param queue - Name of the queue.
 * @returns The number, or the refusal `count-unknown` if no owner has sent it in the last `MAX_QUEUE_DEPTHS_AGE_MS`.
 */
export async function countPendingJobs(context: CallContext, queue: string): Promise<Reply> {
    const depths = context.localOwner()?.countQueueDepths() ?? await readQueueDepths(context.cluster);
    if (depths === undefined) {
        return refuse(
            "count-unknown",
            "The number of pending jobs is not known while the jobs are taken over. Try again later.",
        );
    }
    return { kind: "depth", pending: depths.find(depth => depth.queue === queue)?.jobs ?? 0 };
}

/** Returns the last queue depths of the owner, after a heartbeat with it unless they are new. */
async function readQueueDepths(cluster: Cluster): Promise<readonly QueueDepth[] | undefined> {
    const { queueDepths, owner, clock } = cluster;
    const isNew = queueDepths !== undefined && clock() - queueDepths.receivedAt <= NEW_QUEUE_DEPTHS_AGE_MS;
    const ownerPeer = cluster.peers.get(owner?.address ?? "");
    if (!isNew && ownerPeer !== undefined && ownerPeer.refusedConnections === 0) {
        await exchangeHeartbeats(cluster, ownerPeer);
    }
    return getRecentQueueDepths(cluster);
}

function getRecentQueueDepths({ queueDepths, clock }: Cluster): readonly QueueDepth[] | undefined {
    const isRecent = queueDepths !== undefined && clock() - queueDepths.receivedAt <= MAX_QUEUE_DEPTHS_AGE_MS;
    return isRecent ? queueDepths.depths : undefined;
}
