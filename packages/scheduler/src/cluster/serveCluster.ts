import { ClusterService } from "@balsamward/schema/scheduling";
import type { Job, JobState, QueueDepth, RelayStoreCallRequest } from "@balsamward/schema/scheduling";
import type { ConnectRouter } from "@connectrpc/connect";
import type { ListenOptions } from "../listenOn.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { RpcListener } from "../startRpcListener.js";
import { startRpcListener } from "../startRpcListener.js";
import { answerHeartbeat } from "./answerHeartbeat.js";
import type { Cluster } from "./Cluster.js";
import { composeHeartbeat } from "./Cluster.js";
import { executeRelayedCall } from "./executeRelayedCall.js";

/** State and customer of a job, as the owner knows them. */
export type KnownJob = { readonly state: JobState; readonly customer: string };

/** The owner's service: calls about jobs that only the owner can answer. */
export type OwnerService = {
    /** Returns the state and the customer of a job, or `undefined` if the job is unknown. */
    readonly describeJob: (id: string) => KnownJob | undefined;
    /** Adds a job that was just stored at a revision. */
    readonly addJob: (job: Job, revision: number) => void;
    /** Cancels a job whose cancellation was just stored. */
    readonly cancelJob: (id: string) => void;
    /**
     * Counts the pending jobs of each queue: those without a schedule that have not started. Returns `undefined` while
     * the owner may not know all jobs.
     */
    readonly countQueueDepths: () => readonly QueueDepth[] | undefined;
};

/** Options of `serveCluster`. */
export type ClusterServerOptions = {
    readonly cluster: Cluster;
    /** Store client that calls the store directly. */
    readonly store: FleetStore;
    /** Returns the owner's service if this daemon is the owner and has loaded the state, otherwise `undefined`. */
    readonly localOwner: () => OwnerService | undefined;
    readonly listenOptions?: ListenOptions;
};

/**
 * Serves the calls of other daemons over HTTP/2.
 *
 * @param options - View of the cluster, store and the owner's service.
 * @param address - Address to listen on, as `IP:port`.
 * @returns The listener.
 */
export function serveCluster(options: ClusterServerOptions, address: string): Promise<RpcListener> {
    return startRpcListener(router => addRoutes(router, options), address, options.listenOptions);
}

function addRoutes(router: ConnectRouter, options: ClusterServerOptions): void {
    const { cluster } = options;
    router.service(ClusterService, {
        exchange: ({ heartbeat }) => ({
            heartbeat: heartbeat === undefined
                ? composeHeartbeat(cluster)
                : answerHeartbeat(cluster, heartbeat),
        }),
        fetchConfiguration: () => ({
            text: cluster.configuration.text(),
            version: cluster.configuration.current()?.version ?? 0,
        }),
        describeJob: ({ job }) => {
            const localOwner = options.localOwner();
            const known = localOwner?.describeJob(job);
            return {
                owner: localOwner !== undefined,
                known: known !== undefined,
                ...(known === undefined ? {} : { state: known.state, customer: known.customer }),
            };
        },
        announceJob: ({ job, revision, cancelled }) => {
            const localOwner = options.localOwner();
            if (localOwner !== undefined && job !== undefined) {
                if (cancelled) {
                    localOwner.cancelJob(job.id);
                }
                else {
                    localOwner.addJob(job, revision);
                }
            }
            return { owner: localOwner !== undefined };
        },
        relayStoreCall: (request: RelayStoreCallRequest, context) =>
            executeRelayedCall(options.store, request, context.signal),
    });
}
