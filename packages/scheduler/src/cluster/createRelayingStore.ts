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
import { listHelpers } from "./listHelpers.js";

type Call = NonNullable<MessageInitShape<typeof RelayStoreCallRequestSchema>["call"]>;

/** Pause between two looks at a store that does not answer, in milliseconds. */
const PROBE_MS = 150;

/** Peers that are asked before a call is given up. */
const RELAY_ATTEMPTS = 2;

/**
 * Creates a store that makes its calls through a peer while the store itself turns this daemon away.
 *
 * While no peer reaches the store either, calls fail at once; one probe at a time finds out when it is
 * back. A write whose answer was lost is not relayed: its outcome stays unclear.
 *
 * @param direct - The store, reached directly.
 * @param cluster - The peers.
 * @returns The store.
 */
export function createRelayingStore(direct: FleetStore, cluster: Cluster): FleetStore {
    const probe = createProbe(direct, cluster);
    const run = <T>(
        attempt: () => ResultAsync<T, StoreError>,
        call: Call,
        decode: (response: RelayStoreCallResponse) => T,
        isSafe: boolean,
        waitMs = 0,
    ): ResultAsync<T, StoreError> =>
        new ResultAsync(runCall(cluster, probe, { attempt, call, decode, isSafe, waitMs }));
    return {
        read: key =>
            run(
                () => direct.read(key),
                { case: "read", value: { key } },
                ({ rows }) => rows[0] === undefined ? undefined : toItem(rows[0]),
                true,
            ),
        list: (prefix, options = {}) =>
            run(
                () => direct.list(prefix, options),
                { case: "list", value: { prefix, stale: options.stale ?? false } },
                ({ rows, revision }) => ({ items: rows.map(toItem), revision }),
                true,
            ),
        commit: transaction =>
            run(
                () => direct.commit(transaction),
                { case: "commit", value: toMessage(transaction) },
                ({ revision }) => revision,
                false,
            ),
        watch: (prefix, after, waitMs, signal) =>
            run(
                () => direct.watch(prefix, after, waitMs, signal),
                { case: "watch", value: { prefix, after, waitMs } },
                ({ rows, revision }) => ({ events: rows.map(toEvent), revision }),
                true,
                waitMs,
            ),
        grantLease: ttlMs =>
            run(
                () => direct.grantLease(ttlMs),
                { case: "grantLeaseMs", value: ttlMs },
                ({ lease, leaseMs }) => ({ id: lease as LeaseId, ttlMs: leaseMs }),
                true,
            ),
        renewLease: lease =>
            run(() => direct.renewLease(lease), { case: "renewLease", value: lease }, () => undefined, true),
        endLease: lease =>
            run(() => direct.endLease(lease), { case: "endLease", value: lease }, () => undefined, true),
    };
}

type Plan<T> = {
    readonly attempt: () => ResultAsync<T, StoreError>;
    readonly call: Call;
    readonly decode: (response: RelayStoreCallResponse) => T;
    /** Whether the call may be made twice. */
    readonly isSafe: boolean;
    readonly waitMs: number;
};

async function runCall<T>(
    cluster: Cluster,
    probe: () => void,
    plan: Plan<T>,
): Promise<Result<T, StoreError>> {
    if (!cluster.reachesStore) {
        return relay(cluster, plan);
    }
    const result = await plan.attempt();
    const isAway = result.isErr() && (result.error.kind === "unavailable" || result.error.kind === "unclear");
    if (!isAway) {
        return result;
    }
    // A watch that waits may be cut while the store is well.
    if (plan.waitMs === 0) {
        noteReachable(cluster, false);
        probe();
    }
    const mayRelay = result.isErr() && (plan.isSafe || result.error.kind === "unavailable");
    return mayRelay && listHelpers(cluster).length > 0 ? relay(cluster, plan) : result;
}

/** Looks at the store until it answers; looks that overlap are made once. */
function createProbe(direct: FleetStore, cluster: Cluster): () => void {
    let isProbing = false;
    const look = async (): Promise<void> => {
        while (!cluster.reachesStore) {
            await pause(PROBE_MS);
            const seen = await direct.read(storeKeys.owner);
            noteReachable(cluster, seen.isOk());
        }
        isProbing = false;
    };
    return () => {
        if (!isProbing) {
            isProbing = true;
            void look();
        }
    };
}

function noteReachable(cluster: Cluster, isReachable: boolean): void {
    if (cluster.reachesStore !== isReachable) {
        cluster.reachesStore = isReachable;
        cluster.log.warn(isReachable ? "The store answers again." : "The store does not answer.", {
            helpers: listHelpers(cluster).length,
        });
    }
}

async function relay<T>(cluster: Cluster, plan: Plan<T>): Promise<Result<T, StoreError>> {
    let last: StoreError = { kind: "unavailable", message: "No peer reaches the store. Try again later." };
    for (const peer of listHelpers(cluster).slice(0, RELAY_ATTEMPTS)) {
        const result = await relayThrough(cluster, peer, plan);
        if (result.isOk() || result.error.kind !== "unavailable") {
            return result;
        }
        last = result.error;
    }
    return err(last);
}

async function relayThrough<T>(cluster: Cluster, peer: Peer, plan: Plan<T>): Promise<Result<T, StoreError>> {
    try {
        const request = { call: plan.call };
        const timeoutMs = RELAY_TIMEOUT_MS + plan.waitMs;
        const response = await peer.client.calls.relayStoreCall(request, { timeoutMs });
        cluster.metrics.relayedStoreCalls.inc({
            result: response.errorKind === "" ? "done" : response.errorKind,
        });
        return response.errorKind === "" ? ok(plan.decode(response)) : err(toError(response));
    }
    catch (error) {
        cluster.metrics.relayedStoreCalls.inc({ result: "failed" });
        peer.reachesStore = false;
        const kind = plan.isSafe ? "unavailable" : "unclear";
        return err({
            kind,
            message: `The peer '${peer.node}' does not answer (${String(error)}). Try again later.`,
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
                message: `A peer answers with an unknown error '${response.errorKind}'.`,
            };
    }
}

function toItem(row: StoreRow): StoreItem {
    return { key: row.key, revision: row.revision, value: row.value ?? new Uint8Array() };
}

function toEvent(row: StoreRow): StoreEvent {
    return { key: row.key, revision: row.revision, value: row.value };
}

function toMessage(transaction: StoreTransaction) {
    return {
        expect: transaction.expect.map(({ key, revision }) => ({ key, revision })),
        puts: transaction.puts.map(({ key, value, lease }) => ({ key, value, lease: lease ?? "" })),
        removals: [...transaction.removals],
    };
}
