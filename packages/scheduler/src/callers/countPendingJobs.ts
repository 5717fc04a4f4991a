import type { CallContext } from "./CallContext.js";
import type { Reply } from "./Reply.js";

/**
 * Returns the number of pending jobs of a queue: accepted jobs without a schedule that have not started.
 *
 * @param context - The services that the call uses.
 * @param queue - Name of the queue.
 * @returns The number from this daemon if it is the owner, otherwise from the owner's last heartbeat; 0 if none is
 * known.
 */
export function countPendingJobs(context: CallContext, queue: string): Reply {
    const depths = context.localOwner()?.countQueueDepths() ?? context.cluster.queueDepths;
    return { kind: "depth", pending: depths.find(depth => depth.queue === queue)?.jobs ?? 0 };
}
