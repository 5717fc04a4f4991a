import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { RefusalReply } from "./Reply.js";
import { refuse } from "./Reply.js";

/** What a caller says of itself and of its goal. */
export type IncomingCall = {
    readonly host: string;
    readonly path: string;
    /** Key of the caller; `undefined` if none was sent. */
    readonly key: string | undefined;
};

/** A call that may go on. */
export type ResolvedCall = {
    readonly queue: Queue;
    /** Empty for a queue without keys. */
    readonly customer: string;
    /** The path after the queue's prefix. */
    readonly remainingPath: string;
};

/**
 * Finds the queue and the customer of a call.
 *
 * @param configuration - The configuration in force, if there is one.
 * @param call - Host, path and key.
 * @returns The call, or `no-configuration`, `no-such-queue` or `unknown-key`.
 */
export function resolveCall(
    configuration: FleetConfiguration | undefined,
    call: IncomingCall,
): Result<ResolvedCall, RefusalReply> {
    if (configuration === undefined) {
        return err(refuse("no-configuration", "The daemon has no configuration yet. Come back later."));
    }
    const queue = findQueue(configuration, call);
    if (queue === undefined) {
        return err(
            refuse("no-such-queue", "No queue has this host and path. Check both against the configuration."),
        );
    }
    const customer = configuration.customers.find(({ keys }) =>
        call.key !== undefined && keys.includes(call.key)
    );
    if (customer === undefined && !queue.open) {
        return err(
            refuse("unknown-key", "The key belongs to no customer. Send a key that the operator has issued."),
        );
    }
    return ok({ queue, customer: customer?.name ?? "", remainingPath: call.path.slice(queue.prefix.length) });
}

function findQueue(configuration: FleetConfiguration, { host, path }: IncomingCall): Queue | undefined {
    const matchingQueues = configuration.queues.filter(queue =>
        queue.host === host && path.startsWith(queue.prefix)
    );
    return matchingQueues.reduce<Queue | undefined>(
        (longest, queue) => queue.prefix.length > (longest?.prefix.length ?? -1) ? queue : longest,
        undefined,
    );
}
