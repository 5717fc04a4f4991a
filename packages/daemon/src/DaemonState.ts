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

/** The limiter and the retry budget of one kind of work. */
export type KindControl = { readonly limiter: Limiter; readonly retryBudget: RetryBudget };

/** The state that the tasks and listeners of one daemon share. */
export type DaemonState = {
    readonly node: NodeId;
    /** Random id of this process, which tells it from earlier processes of the same daemon. */
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
    /** Returns a random number from 0 (inclusive) to 1 (exclusive). */
    readonly random: () => number;
    activeConfiguration: ActiveConfiguration | undefined;
    vms: readonly Vm[];
    memberLease: HeldLease | undefined;
    /** The lease that new claims are attached to, and when it was granted, in milliseconds since the Unix epoch. */
    claimLease: { readonly id: string; readonly grantedAt: number } | undefined;
    /** Monotonic time in milliseconds of the last event from the store's watch. */
    lastWatchEventAt: number;
    /** Whether the daemon has begun to stop; it reports not ready but still accepts requests. */
    isStopping: boolean;
    /** Whether the daemon refuses new requests while it finishes those in flight. */
    isDraining: boolean;
};
