import type { Desk } from "./Desk.js";
import type { Reply } from "./Reply.js";

/**
 * Returns how many accepted jobs of a queue have not begun.
 *
 * @param desk - What answering needs.
 * @param queue - Name of the queue.
 * @returns The number, as the owner last told: no older than a heartbeat while the owner is reached.
 */
export function countPending(desk: Desk, queue: string): Reply {
    const depths = desk.ownerDesk()?.countQueueDepths() ?? desk.cluster.queueDepths;
    return { kind: "depth", pending: depths.find(depth => depth.queue === queue)?.jobs ?? 0 };
}
