import type { QueueDepth } from "@balsamward/schema/scheduling";
import type { Cluster } from "../cluster/Cluster.js";
import { MAX_QUEUE_DEPTHS_AGE_MS } from "../constants.js";
import type { CallContext } from "./CallContext.js";
import type { Reply } from "./Reply.js";
import { refuse } from "./Reply.js";

/**
 * Returns the number of pending jobs of a queue: accepted jobs without a schedule that have not started.
 *
 * The number comes from this daemon if it is the owner, otherwise from the last heartbeat of an owner that knew it. The
 * store is not read: it does not hold which tasks have started, and a new owner needs its capacity to load the state.
 *
 * @param context - The services that the call uses.
 * @param queue - Name of the queue.
 * @returns The number, or the refusal `count-unknown` if no owner has sent it in the last `MAX_QUEUE_DEPTHS_AGE_MS`.
 */
export function countPendingJobs(context: CallContext, queue: string): Reply {
    const depths = context.localOwner()?.countQueueDepths() ?? getRecentQueueDepths(context.cluster);
    if (depths === undefined) {
        return refuse(
            "count-unknown",
            "The number of pending jobs is not known while the jobs are taken over. Try again later.",
        );
    }
    return { kind: "depth", pending: depths.find(depth => depth.queue === queue)?.jobs ?? 0 };
}

function getRecentQueueDepths({ queueDepths, clock }: Cluster): readonly QueueDepth[] | undefined {
    const isRecent = queueDepths !== undefined && clock() - queueDepths.receivedAt <= MAX_QUEUE_DEPTHS_AGE_MS;
    return isRecent ? queueDepths.depths : undefined;
}
