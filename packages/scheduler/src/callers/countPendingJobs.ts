import type { CallContext } from "./CallContext.js";
import type { Reply } from "./Reply.js";

/**
 * Returns how many accepted jobs of a queue have not begun.
 *
 * @param context - The services that answer callers.
 * @param queue - Name of the queue.
 * @returns The number that the owner last reported, at most one heartbeat old while the owner is reachable.
 */
export function countPendingJobs(context: CallContext, queue: string): Reply {
    const depths = context.localOwner()?.countQueueDepths() ?? context.cluster.queueDepths;
    return { kind: "depth", pending: depths.find(depth => depth.queue === queue)?.jobs ?? 0 };
}
