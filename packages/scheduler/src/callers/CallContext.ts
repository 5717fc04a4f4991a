import type { Cluster } from "../cluster/Cluster.js";
import type { OwnerDesk } from "../cluster/serveCluster.js";
import type { Pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";

/** What answering callers needs. */
export type CallContext = {
    readonly cluster: Cluster;
    readonly store: FleetStore;
    /** The owner's knowledge; `undefined` while this daemon does not schedule. */
    readonly localOwner: () => OwnerDesk | undefined;
    /** Waits for a steady time. */
    readonly pause: Pause;
};
