import { pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { Cluster } from "./Cluster.js";
import { listRelayPeers } from "./listRelayPeers.js";

/** Interval at which a store that does not answer is probed, in milliseconds. */
const PROBE_INTERVAL_MS = 150;

/**
 * Creates a function that records the store as unreachable and probes it until it answers, unless a probe is already
 * running.
 *
 * @param direct - Store client that calls the store directly.
 * @param cluster - This daemon's view of the cluster, in which `reachesStore` is kept up to date.
 * @returns The function, to be called when the store has not answered.
 */
export function createStoreProbe(direct: FleetStore, cluster: Cluster): () => void {
    let isProbing = false;
    const probeUntilReachable = async (): Promise<void> => {
        while (!cluster.reachesStore) {
            await pause(PROBE_INTERVAL_MS);
            const result = await direct.read(storeKeys.owner);
            setStoreReachable(cluster, result.isOk());
        }
        isProbing = false;
    };
    return () => {
        setStoreReachable(cluster, false);
        if (!isProbing) {
            isProbing = true;
            void probeUntilReachable();
        }
    };
}

function setStoreReachable(cluster: Cluster, isReachable: boolean): void {
    if (cluster.reachesStore !== isReachable) {
        cluster.reachesStore = isReachable;
        cluster.log.warn(isReachable ? "The store answers again." : "The store does not answer.", {
            helpers: listRelayPeers(cluster).length,
        });
    }
}
