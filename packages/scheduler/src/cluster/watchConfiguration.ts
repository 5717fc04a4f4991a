import { MAX_WATCH_WAIT_MS, STORE_RETRY_MS } from "../constants.js";
import { pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { Cluster } from "./Cluster.js";

/**
 * Follows the operator's configuration in the store.
 *
 * @param cluster - The daemon's knowledge, which keeps the configuration.
 * @param store - The store.
 * @param key - Key of the configuration.
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
        const seen = revision === undefined
            ? undefined
            : await store.watch(key, revision, MAX_WATCH_WAIT_MS, signal);
        if (seen?.isOk()) {
            seen.value.events
                .filter(event => event.key === key && event.value !== undefined)
                .forEach(event => cluster.configuration.offer(event.value!, "store"));
            revision = seen.value.revision;
            continue;
        }
        // Whatever ended the watch, the present value is read anew.
        revision = undefined;
        await pause(STORE_RETRY_MS, signal);
    }
}

/** Reads with a list, whose revision is the store's: the value's own may be older than the kept history. */
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
        .forEach(item => cluster.configuration.offer(item.value, "store"));
    return listed.value.revision;
}
