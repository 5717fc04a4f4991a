import type { CallContext } from "./CallContext.js";
import type { Reply } from "./Reply.js";

/**
 * Returns how many accepted jobs of a queue have not begun.
 *
 * @param context - What answering needs.
 * @param queue - Name of the queue.
 * @returns The number, as the owner last told: no older than a heartbeat while the owner is reached.
 */
export function countPendingJobs(context: CallContext, queue: string): Reply {
    const depths = context.localOwner()?.depths() ?? context.cluster.depths;
    return { kind: "depth", pending: depths.find(depth => depth.queue === queue)?.jobs ?? 0 };
}
