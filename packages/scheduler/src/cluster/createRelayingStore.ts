import type {
    RelayStoreCallRequestSchema,
    RelayStoreCallResponse,
    StoreRow,
} from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { err, ok, ResultAsync } from "neverthrow";
import type { Result } from "neverthrow";
import { RELAY_TIMEOUT_MS } from "../constants.js";
import { pause } from "../pause.js";
import type {
    FleetStore,
    LeaseId,
    StoreError,
    StoreEvent,
    StoreItem,
    StoreTransaction,
} from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { Cluster, Peer } from "./Cluster.js";
import { listRelayPeers } from "./listRelayPeers.js";

type RelayedCall = NonNullable<MessageInitShape<typeof RelayStoreCallRequestSchema>["call"]>;

/** Interval at which a store that does not answer is probed, in milliseconds. */
const PROBE_INTERVAL_MS = 150;

/** Number of peers that are tried before a relayed call fails. */
const MAX_RELAY_ATTEMPTS = 2;

/**
 * Creates a store that relays its calls through a peer while this daemon cannot reach the store directly.
 *
 * While no peer reaches the store either, calls fail at once. A single background probe detects when the store
 * answers again. A write whose answer was lost is not relayed, as it may have taken effect: its outcome stays unclear.
 *
 * @param direct - Store client that calls the store directly.
 * @param cluster - This daemon's view of the cluster, with the peers to relay through.
 * @returns The relaying store.
 */
export function createRelayingStore(direct: FleetStore, cluster: Cluster): FleetStore {
    const probe = createStoreProbe(direct, cluster);
    const execute = <T>(
        callDirectly: () => ResultAsync<T, StoreError>,
        call: RelayedCall,
        decode: (response: RelayStoreCallResponse) => T,
        isRepeatable: boolean,
        waitMs = 0,
    ): ResultAsync<T, StoreError> =>
        new ResultAsync(executeCall(cluster, probe, { callDirectly, call, decode, isRepeatable, waitMs }));
    return {
        read: key =>
            execute(
                () => direct.read(key),
                { case: "read", value: { key } },
                ({ rows }) => rows[0] === undefined ? undefined : toItem(rows[0]),
                true,
            ),
        list: (prefix, options = {}) =>
            execute(
                () => direct.list(prefix, options),
                { case: "list", value: { prefix, stale: options.stale ?? false } },
                ({ rows, revision }) => ({ items: rows.map(toItem), revision }),
                true,
            ),
        commit: transaction =>
            execute(
                () => direct.commit(transaction),
                { case: "commit", value: toStoreCommit(transaction) },
                ({ revision }) => revision,
                false,
            ),
        watch: (prefix, after, waitMs, signal) =>
            execute(
                () => direct.watch(prefix, after, waitMs, signal),
                { case: "watch", value: { prefix, after, waitMs } },
                ({ rows, revision }) => ({ events: rows.map(toEvent), revision }),
                true,
                waitMs,
            ),
        grantLease: ttlMs =>
            execute(
                () => direct.grantLease(ttlMs),
                { case: "grantLeaseMs", value: ttlMs },
                ({ lease, leaseMs }) => ({ id: lease as LeaseId, ttlMs: leaseMs }),
                true,
            ),
        renewLease: lease =>
            execute(
                () => direct.renewLease(lease),
                { case: "renewLease", value: lease },
                () => undefined,
                true,
            ),
        endLease: lease =>
            execute(() => direct.endLease(lease), { case: "endLease", value: lease }, () => undefined, true),
    };
}

type StoreCall<T> = {
    readonly callDirectly: () => ResultAsync<T, StoreError>;
    readonly call: RelayedCall;
    readonly decode: (response: RelayStoreCallResponse) => T;
    /** Whether the call may be made a second time although the first may have taken effect. */
    readonly isRepeatable: boolean;
    readonly waitMs: number;
};

async function executeCall<T>(
    cluster: Cluster,
    probe: () => void,
    storeCall: StoreCall<T>,
): Promise<Result<T, StoreError>> {
    if (!cluster.reachesStore) {
        return relayThroughPeers(cluster, storeCall);
    }
    const result = await storeCall.callDirectly();
    const isUnreachable = result.isErr()
        && (result.error.kind === "unavailable" || result.error.kind === "unclear");
    if (!isUnreachable) {
        return result;
    }
    // A watch that waits for events may be cut off although the store is reachable.
    if (storeCall.waitMs === 0) {
        setStoreReachable(cluster, false);
        probe();
    }
    const mayRelay = result.isErr() && (storeCall.isRepeatable || result.error.kind === "unavailable");
    return mayRelay && listRelayPeers(cluster).length > 0 ? relayThroughPeers(cluster, storeCall) : result;
}

/** Creates a function that probes the store until it answers, unless a probe is already running. */
function createStoreProbe(direct: FleetStore, cluster: Cluster): () => void {
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

async function relayThroughPeers<T>(
    cluster: Cluster,
    storeCall: StoreCall<T>,
): Promise<Result<T, StoreError>> {
    let lastError: StoreError = {
        kind: "unavailable",
        message: "No peer reaches the store. Try again later.",
    };
    for (const peer of listRelayPeers(cluster).slice(0, MAX_RELAY_ATTEMPTS)) {
        const result = await relayThroughPeer(cluster, peer, storeCall);
        if (result.isOk() || result.error.kind !== "unavailable") {
            return result;
        }
        lastError = result.error;
    }
    return err(lastError);
}

async function relayThroughPeer<T>(
    cluster: Cluster,
    peer: Peer,
    storeCall: StoreCall<T>,
): Promise<Result<T, StoreError>> {
    try {
        const request = { call: storeCall.call };
        const timeoutMs = RELAY_TIMEOUT_MS + storeCall.waitMs;
        const response = await peer.client.calls.relayStoreCall(request, { timeoutMs });
        cluster.metrics.relayedStoreCalls.inc({
            result: response.errorKind === "" ? "done" : response.errorKind,
        });
        return response.errorKind === "" ? ok(storeCall.decode(response)) : err(toError(response));
    }
    catch (error) {
        cluster.metrics.relayedStoreCalls.inc({ result: "failed" });
        peer.reachesStore = false;
        const kind = storeCall.isRepeatable ? "unavailable" : "unclear";
        return err({
            kind,
            message: `The peer '${peer.node}' does not answer (${
                String(error)
            }). Read the value back before repeating a write.`,
        });
    }
}

function toError(response: RelayStoreCallResponse): StoreError {
    const message = response.errorMessage;
    switch (response.errorKind) {
        case "conflict":
            return { kind: "conflict", message, items: response.rows.map(toItem) };
        case "unavailable":
        case "unclear":
        case "compacted":
        case "lease-ended":
        case "invalid":
            return { kind: response.errorKind, message };
        default:
            return {
                kind: "unclear",
                message:
                    `A peer answers with the unknown error '${response.errorKind}'. Compare the daemons' versions.`,
            };
    }
}

function toItem(row: StoreRow): StoreItem {
    return { key: row.key, revision: row.revision, value: row.value ?? new Uint8Array() };
}

function toEvent(row: StoreRow): StoreEvent {
    return { key: row.key, revision: row.revision, value: row.value };
}

function toStoreCommit(transaction: StoreTransaction) {
    return {
        expect: transaction.expect.map(({ key, revision }) => ({ key, revision })),
        puts: transaction.puts.map(({ key, value, lease }) => ({ key, value, lease: lease ?? "" })),
        removals: [...transaction.removals],
    };
}
