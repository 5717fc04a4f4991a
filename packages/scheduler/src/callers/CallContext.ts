import type { Cluster } from "../cluster/Cluster.js";
import type { OwnerService } from "../cluster/serveCluster.js";
import type { Pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { SharedLease } from "./createSharedLease.js";

/** The services that the handlers of callers' requests use. */
export type CallContext = {
    readonly cluster: Cluster;
    readonly store: FleetStore;
    /** Lease of the withdrawals that this daemon stores. */
    readonly withdrawalLease: SharedLease;
    /** Returns the owner's service if this daemon is the owner and has loaded the state, otherwise `undefined`. */
    readonly localOwner: () => OwnerService | undefined;
    /** Waits for a time measured on the monotonic clock. */
    readonly pause: Pause;
};
