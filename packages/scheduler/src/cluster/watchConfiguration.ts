import { STORE_RETRY_MS } from "../constants.js";
import { pause } from "../pause.js";
import type { FleetStore, StoreEvent } from "../ports/FleetStore.js";
import type { Cluster } from "./Cluster.js";
import type { OperatorKeys } from "./OperatorKeys.js";
import { readOperatorKeys } from "./readOperatorKeys.js";

/**
 * Maximum time for which a watch of the configuration waits for changes, in milliseconds. A connection that goes silent
 * hides changes until the watch on it times out.
 */
const MAX_CONFIGURATION_WATCH_WAIT_MS = 1_000;

/** Minimum time for which a watch of the configuration waits for changes, in milliseconds. */
const MIN_CONFIGURATION_WATCH_WAIT_MS = 200;

/**
 * Time after which the owner reads the configuration again while it watches it, in milliseconds. A watch that leaves
 * out a change would otherwise hide it until the next one.
 */
const CONFIGURATION_READ_INTERVAL_MS = 500;

/**
 * Watches the operator's keys in the store: puts each newer configuration into force, and follows the evacuations. All
 * keys are watched with the same calls, since each call of the store has a price.
 *
 * The owner also reads them from time to time. The other daemons do not: heartbeats tell them of the version of the
 * owner's configuration, and a new owner reads the evacuations before it schedules.
 *
 * @param cluster - This daemon's view of the cluster, which holds what is in force.
 * @param store - The store.
 * @param keys - The operator's keys.
 * @param signal - Ends the watch.
 */
export async function watchConfiguration(
    cluster: Cluster,
    store: FleetStore,
    keys: OperatorKeys,
    signal: AbortSignal,
): Promise<void> {
    let revision: number | undefined;
    let readAt = cluster.clock();
    while (!signal.aborted) {
        if (revision === undefined || isReadDue(cluster, readAt)) {
            readAt = cluster.clock();
            revision = await readOperatorKeys(cluster, store, keys);
        }
        else {
            revision = await waitForChange(cluster, store, { keys, revision, signal });
        }
        if (revision === undefined) {
            await pause(STORE_RETRY_MS, signal);
        }
    }
}

function isReadDue({ owner, address, clock }: Cluster, readAt: number): boolean {
    return owner?.address === address && clock() - readAt >= CONFIGURATION_READ_INTERVAL_MS;
}

type WatchOptions = { readonly keys: OperatorKeys; readonly revision: number; readonly signal: AbortSignal };

/** Returns the revision of the answer, or `undefined` if the value is to be read again, whatever the error is. */
async function waitForChange(
    cluster: Cluster,
    store: FleetStore,
    { keys, revision, signal }: WatchOptions,
): Promise<number | undefined> {
    const { clock, configuration, log } = cluster;
    const sentAt = clock();
    // An answer with a change tells nothing of the time since the watch was sent, so that the next one is due earlier.
    const waitMs = Math.max(
        MIN_CONFIGURATION_WATCH_WAIT_MS,
        MAX_CONFIGURATION_WATCH_WAIT_MS - Math.ceil(configuration.getAgeMs()),
    );
    const watched = await store.watch(keys.prefix, revision, waitMs, signal);
    if (watched.isErr()) {
        const ageMs = Math.round(configuration.getAgeMs());
        log.warn("The watch of the configuration is interrupted.", { reason: watched.error.kind, ageMs });
        return undefined;
    }
    const { events } = watched.value;
    events.forEach(event => applyEvent(cluster, keys, event));
    // Without events, the store answers after the whole wait.
    configuration.confirm(events.length > 0 ? sentAt : Math.min(clock(), sentAt + waitMs));
    return watched.value.revision;
}

/** Gives a change to the holder of its kind of key. A request to evacuate counts even if its value cannot be read. */
function applyEvent({ configuration, evacuations }: Cluster, keys: OperatorKeys, event: StoreEvent): void {
    const { key, revision, value } = event;
    const dataCentre = keys.decodeEvacuation(key);
    if (dataCentre !== undefined) {
        evacuations.applyChange({ dataCentre, revision, isRequested: value !== undefined });
    }
    else if (key === keys.configuration && value !== undefined) {
        configuration.activateIfNewer(value, "store");
    }
}
