import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { Refused } from "./Reply.js";
import { refuse } from "./Reply.js";

/** What a caller says of itself and of its goal. */
export type CallTarget = {
    readonly host: string;
    readonly path: string;
    /** Key of the caller; `undefined` if none was sent. */
    readonly key: string | undefined;
};

/** A call that may go on. */
export type AdmittedCall = {
    readonly queue: Queue;
    /** Empty for a queue without keys. */
    readonly customer: string;
    /** The path after the queue's prefix. */
    readonly rest: string;
};

/**
 * Finds the queue and the customer of a call.
 *
 * @param configuration - The configuration in force, if there is one.
 * @param target - Host, path and key.
 * @returns The call, or `no-configuration`, `no-such-queue` or `unknown-key`.
 */
export function admitCall(
    configuration: FleetConfiguration | undefined,
    target: CallTarget,
): Result<AdmittedCall, Refused> {
    if (configuration === undefined) {
        return err(refuse("no-configuration", "The daemon has no configuration yet. Come back later."));
    }
    const queue = findQueue(configuration, target);
    if (queue === undefined) {
        return err(
            refuse("no-such-queue", "No queue has this host and path. Check both against the configuration."),
        );
    }
    const customer = configuration.customers.find(({ keys }) =>
        target.key !== undefined && keys.includes(target.key)
    );
    if (customer === undefined && !queue.open) {
        return err(
            refuse("unknown-key", "The key belongs to no customer. Send a key that the operator has issued."),
        );
    }
    return ok({ queue, customer: customer?.name ?? "", rest: target.path.slice(queue.prefix.length) });
}

function findQueue(configuration: FleetConfiguration, { host, path }: CallTarget): Queue | undefined {
    const matching = configuration.queues.filter(queue =>
        queue.host === host && path.startsWith(queue.prefix)
    );
    return matching.reduce<Queue | undefined>(
        (longest, queue) => queue.prefix.length > (longest?.prefix.length ?? -1) ? queue : longest,
        undefined,
    );
}
