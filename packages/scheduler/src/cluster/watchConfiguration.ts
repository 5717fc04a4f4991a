import { MAX_WATCH_WAIT_MS, STORE_RETRY_MS } from "../constants.js";
import { pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { Cluster } from "./Cluster.js";

/**
 * Watches the operator's configuration in the store and puts each newer version into force.
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
    while (!signal.aborted) {
        if (revision === undefined) {
            revision = await readConfiguration(cluster, store, key);
        }
        const watched = revision === undefined
            ? undefined
            : await store.watch(key, revision, MAX_WATCH_WAIT_MS, signal);
        if (watched?.isOk()) {
            watched.value.events
                .filter(event => event.key === key && event.value !== undefined)
                .forEach(event => cluster.configuration.activateIfNewer(event.value!, "store"));
            revision = watched.value.revision;
            continue;
        }
        // The current value is read again whatever error ended the watch.
        revision = undefined;
        await pause(STORE_RETRY_MS, signal);
    }
}

/** Reads with a list, which returns the store's revision: the value's own may be older than the retained history. */
async function readConfiguration(
    cluster: Cluster,
    store: FleetStore,
    key: string,
): Promise<number | undefined> {
    const listed = await store.list(key);
    if (listed.isErr()) {
        return undefined;
    }
    listed.value.items
        .filter(item => item.key === key)
        .forEach(item => cluster.configuration.activateIfNewer(item.value, "store"));
    return listed.value.revision;
}
