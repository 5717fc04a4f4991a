import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { RefusalReply } from "./Reply.js";
import { refuse } from "./Reply.js";

/** The parts of a call that determine its queue and its customer. */
export type IncomingCall = {
    readonly host: string;
    readonly path: string;
    /** API key of the caller; `undefined` if none was sent. */
    readonly key: string | undefined;
};

/** A call with its queue and its authenticated customer. */
export type ResolvedCall = {
    readonly queue: Queue;
    /** Name of the customer; empty if the queue is open and the key belongs to no customer. */
    readonly customer: string;
    /** Path after the queue's prefix. */
    readonly remainingPath: string;
};

/**
 * Finds the queue and the customer of a call.
 *
 * If several queues match, the one with the longest prefix is chosen.
 *
 * @param configuration - The configuration in force; `undefined` if none has been loaded.
 * @param call - Host, path and API key of the call.
 * @returns The resolved call, or a refusal: `no-configuration`, `no-such-queue` or `unknown-key`.
 */
export function resolveCall(
    configuration: FleetConfiguration | undefined,
    call: IncomingCall,
): Result<ResolvedCall, RefusalReply> {
    if (configuration === undefined) {
        return err(
            refuse("no-configuration", "The daemon has not loaded a configuration yet. Try again later."),
        );
    }
    const queue = findQueue(configuration, call);
    if (queue === undefined) {
        return err(
            refuse(
                "no-such-queue",
                "No queue matches the host and path of this request. Check both against the configuration.",
            ),
        );
    }
    const customer = configuration.customers.find(({ keys }) =>
        call.key !== undefined && keys.includes(call.key)
    );
    if (customer === undefined && !queue.open) {
        return err(
            refuse(
                "unknown-key",
                "The API key belongs to no customer. Send a key that the operator has issued.",
            ),
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
