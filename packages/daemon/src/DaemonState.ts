import type { EndpointPool, FairQueue, FairQueueOptions, Limiter, RetryBudget } from "@balsamward/admission";
import type { ConfigurationTracker, Environment, HeldLease, Store } from "@balsamward/coordination";
import type { CellId, DataCentreId, NodeId } from "@balsamward/schema";
import type PQueue from "p-queue";
import type { Logger } from "winston";
import type { ActiveConfiguration } from "./_lib/ActiveConfiguration.js";
import type { TaskGroup } from "./_lib/createTaskGroup.js";
import type { Vm } from "./_lib/Vm.js";
import type { OwnedCell } from "./cells/openCell.js";
import type { WorkerClient } from "./fleet/WorkerClient.js";
import type { Metrics } from "./Metrics.js";
import type { Membership } from "./peers/Membership.js";

/** Limits and retries of one kind of work. */
export type KindControl = { readonly limiter: Limiter; readonly retryBudget: RetryBudget };

/** What the tasks of one daemon share. */
export type DaemonState = {
    readonly node: NodeId;
    /** Distinguishes two lives of one daemon. */
    readonly incarnation: string;
    readonly environment: Environment;
    readonly dataCentre: DataCentreId;
    readonly peerAddress: string;
    readonly log: Logger;
    readonly metrics: Metrics;
    readonly store: Store;
    readonly workerClient: WorkerClient;
    readonly endpointPool: EndpointPool;
    readonly requestQueue: PQueue<FairQueue, FairQueueOptions>;
    readonly kindControls: Map<string, KindControl>;
    readonly configurationTracker: ConfigurationTracker;
    readonly membership: Membership;
    readonly ownedCells: Map<CellId, OwnedCell>;
    readonly backgroundTasks: TaskGroup;
    /** Returns a number from 0 up to 1. */
    readonly random: () => number;
    activeConfiguration: ActiveConfiguration | undefined;
    vms: readonly Vm[];
    memberLease: HeldLease | undefined;
    /** Lease with which claims end, and when it was taken, in milliseconds since the epoch. */
    claimLease: { readonly id: string; readonly grantedAt: number } | undefined;
    /** Time of the last word from the store's watch, in milliseconds of the monotonic clock. */
    lastWatchEventAt: number;
    /** Whether the daemon is not ready any more; it still serves. */
    isStopping: boolean;
    /** Whether the daemon takes no new work. */
    isDraining: boolean;
    inFlightRequests: number;
};
