import type { RelayStoreCallResponse, StoreRow } from "@balsamward/schema/scheduling";
import type { Result } from "neverthrow";
import { ResultAsync } from "neverthrow";
import type { FleetStore, LeaseId, StoreError, StoreEvent, StoreTransaction } from "../ports/FleetStore.js";
import type { Cluster } from "./Cluster.js";
import { createStoreProbe } from "./createStoreProbe.js";
import { listRelayPeers } from "./listRelayPeers.js";
import type { RelayedCall, RelayedStoreCall } from "./RelayedStoreCall.js";
import { relayThroughPeers } from "./relayThroughPeers.js";
import { toStoreItem } from "./toStoreItem.js";

/**
 * Creates a store that relays its calls through a peer while this daemon cannot reach the store directly.
 *
 * A watch that was cut off while it waited is not relayed: its caller tries again. While no peer reaches the store
 * either, calls fail at once. A single background probe detects when the store answers again. A write whose answer was
 * lost is not relayed, as it may have taken effect: its outcome stays unclear.
 *
 * @param direct - Store client that calls the store directly.
 * @param cluster - This daemon's view of the cluster, with the peers to relay through.
 * @returns The relaying store.
 */
export function createRelayingStore(direct: FleetStore, cluster: Cluster): FleetStore {
    const probeStore = createStoreProbe(direct, cluster);
    const execute = <T>(
        callDirectly: () => ResultAsync<T, StoreError>,
        call: RelayedCall,
        decode: (response: RelayStoreCallResponse) => T,
        isRepeatable: boolean,
        waitMs = 0,
    ): ResultAsync<T, StoreError> =>
        new ResultAsync(
            executeCall(cluster, probeStore, { callDirectly, call, decode, isRepeatable, waitMs }),
        );
    return {
        read: key =>
            execute(
                () => direct.read(key),
                { case: "read", value: { key } },
                ({ rows }) => rows[0] === undefined ? undefined : toStoreItem(rows[0]),
                true,
            ),
        list: (prefix, options = {}) =>
            execute(
                () => direct.list(prefix, options),
                { case: "list", value: { prefix, stale: options.stale ?? false } },
                ({ rows, revision }) => ({ items: rows.map(toStoreItem), revision }),
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

/** A store call that can be made directly or through a peer. */
type StoreCall<T> = RelayedStoreCall<T> & {
    readonly callDirectly: () => ResultAsync<T, StoreError>;
};

async function executeCall<T>(
    cluster: Cluster,
    probeStore: () => void,
    storeCall: StoreCall<T>,
): Promise<Result<T, StoreError>> {
    if (!cluster.reachesStore) {
        return relayThroughPeers(cluster, storeCall);
    }
    const result = await storeCall.callDirectly();
    if (result.isOk() || !isUnreachable(result.error)) {
        return result;
    }
    if (isLostWatch(storeCall, result.error)) {
        return result;
    }
    // Other calls show whether the store is unreachable: a watch may be refused by itself.
    if (storeCall.waitMs === 0) {
        probeStore();
    }
    const mayRelay = storeCall.isRepeatable || result.error.kind === "unavailable";
    return mayRelay && listRelayPeers(cluster).length > 0 ? relayThroughPeers(cluster, storeCall) : result;
}

function isUnreachable({ kind }: StoreError): boolean {
    return kind === "unavailable" || kind === "unclear";
}

/**
 * Returns whether a watch was cut off while it waited. The store may well be reachable on another connection, so it is
 * called again before a peer is.
 */
function isLostWatch({ waitMs }: Pick<RelayedStoreCall<unknown>, "waitMs">, { kind }: StoreError): boolean {
    return waitMs > 0 && kind === "unclear";
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
