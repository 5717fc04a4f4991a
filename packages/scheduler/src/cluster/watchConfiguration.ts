import { STORE_RETRY_MS } from "../constants.js";
import { pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { Cluster } from "./Cluster.js";

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
 * Watches the operator's configuration in the store and puts each newer version into force.
 *
 * The owner also reads it from time to time. The other daemons do not: heartbeats tell them of the owner's version.
 *
 * @param cluster - This daemon's view of the cluster, which holds the configuration in force.
 * @param store - The store.
 * @param key - Key of the configuration in the store.
 * @param signal - Ends the watch.
 */
export async function watchConfiguration(
    cluster: Cluster,
    store: FleetStore,
    key: string,
    signal: AbortSignal,
): Promise<void> {
    let revision: number | undefined;
    let readAt = cluster.clock();
    while (!signal.aborted) {
        if (revision === undefined || isReadDue(cluster, readAt)) {
            readAt = cluster.clock();
            revision = await readConfiguration(cluster, store, key);
        }
        else {
            revision = await waitForChange(cluster, store, { key, revision, signal });
        }
        if (revision === undefined) {
            await pause(STORE_RETRY_MS, signal);
        }
    }
}

function isReadDue({ owner, address, clock }: Cluster, readAt: number): boolean {
    return owner?.address === address && clock() - readAt >= CONFIGURATION_READ_INTERVAL_MS;
}

/** Reads with a list, which returns the store's revision: the value's own may be older than the retained history. */
async function readConfiguration(
    cluster: Cluster,
    store: FleetStore,
    key: string,
): Promise<number | undefined> {
    const sentAt = cluster.clock();
    const listed = await store.list(key);
    if (listed.isErr()) {
        cluster.log.debug("The configuration cannot be read.", { reason: listed.error.kind });
        return undefined;
    }
    listed.value.items
        .filter(item => item.key === key)
        .forEach(item => cluster.configuration.activateIfNewer(item.value, "store"));
    cluster.configuration.confirm(sentAt);
    return listed.value.revision;
}

type WatchedKey = { readonly key: string; readonly revision: number; readonly signal: AbortSignal };

/** Returns the revision of the answer, or `undefined` if the value is to be read again, whatever the error is. */
async function waitForChange(
    { clock, configuration, log }: Cluster,
    store: FleetStore,
    { key, revision, signal }: WatchedKey,
): Promise<number | undefined> {
    const sentAt = clock();
    // An answer with a change tells nothing of the time since the watch was sent, so that the next one is due earlier.
    const waitMs = Math.max(
        MIN_CONFIGURATION_WATCH_WAIT_MS,
        MAX_CONFIGURATION_WATCH_WAIT_MS - Math.ceil(configuration.getAgeMs()),
    );
    const watched = await store.watch(key, revision, waitMs, signal);
    if (watched.isErr()) {
        const ageMs = Math.round(configuration.getAgeMs());
        log.warn("The watch of the configuration is interrupted.", { reason: watched.error.kind, ageMs });
        return undefined;
    }
    const { events } = watched.value;
    events.filter(event => event.key === key && event.value !== undefined)
        .forEach(event => configuration.activateIfNewer(event.value!, "store"));
    // Without events, the store answers after the whole wait.
    configuration.confirm(events.length > 0 ? sentAt : Math.min(clock(), sentAt + waitMs));
    return watched.value.revision;
}
