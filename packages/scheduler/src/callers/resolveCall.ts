import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { MAX_CONFIRMED_CONFIGURATION_AGE_MS } from "../constants.js";
import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { RefusalReason, RefusalReply } from "./Reply.js";
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

/** Options of `resolveCall`. */
export type ResolveCallOptions = {
    /** Time since the configuration was last known to be the newest, in milliseconds. */
    readonly configurationAgeMs: number;
};

/**
 * Finds the queue and the customer of a call.
 *
 * If several queues match, the one with the longest prefix is chosen. A configuration that may no longer be the newest
 * still serves the calls that it allows, but refuses none for good: the queue or the key may have been added since. It
 * takes no unknown key for that of no customer either.
 *
 * @param configuration - The configuration in force; `undefined` if none has been loaded.
 * @param call - Host, path and API key of the call.
 * @param options - The age of the configuration.
 * @returns The resolved call, or a refusal: `no-configuration`, `no-such-queue`, `unknown-key`, or in place of the last
 * two `configuration-unconfirmed` if the configuration is older than `MAX_CONFIRMED_CONFIGURATION_AGE_MS`.
 */
export function resolveCall(
    configuration: FleetConfiguration | undefined,
    call: IncomingCall,
    { configurationAgeMs }: ResolveCallOptions,
): Result<ResolvedCall, RefusalReply> {
    if (configuration === undefined) {
        return err(
            refuse("no-configuration", "The daemon has not loaded a configuration yet. Try again later."),
        );
    }
    const isUnconfirmed = configurationAgeMs > MAX_CONFIRMED_CONFIGURATION_AGE_MS;
    const queue = findQueue(configuration, call);
    if (queue === undefined) {
        return err(
            refuseForGood(
                "no-such-queue",
                "No queue matches the host and path of this request. Check both against the configuration.",
                { isUnconfirmed },
            ),
        );
    }
    const customer = configuration.customers.find(({ keys }) =>
        call.key !== undefined && keys.includes(call.key)
    );
    // On an open queue, a key that has been added since would be taken for none, and its job for that of no customer.
    if (customer === undefined && (!queue.open || call.key !== undefined && isUnconfirmed)) {
        return err(
            refuseForGood(
                "unknown-key",
                "The API key belongs to no customer. Send a key that the operator has issued.",
                { isUnconfirmed },
            ),
        );
    }
    return ok({ queue, customer: customer?.name ?? "", remainingPath: call.path.slice(queue.prefix.length) });
}

/** Refuses a call for good, or for the time being if the configuration may no longer be the newest. */
function refuseForGood(
    reason: RefusalReason,
    message: string,
    { isUnconfirmed }: { readonly isUnconfirmed: boolean },
): RefusalReply {
    return isUnconfirmed
        ? refuse(
            "configuration-unconfirmed",
            "The daemon's configuration does not allow this request, but may not be the newest. Try again later.",
        )
        : refuse(reason, message);
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
