import type { RelayStoreCallRequest, RelayStoreCallResponse, StoreRow } from "@balsamward/schema/scheduling";
import { RelayStoreCallResponseSchema, StoreRowSchema } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create } from "@bufbuild/protobuf";
import type { ResultAsync } from "neverthrow";
import type {
    FleetStore,
    LeaseId,
    StoreError,
    StoreEvent,
    StoreItem,
    StoreTransaction,
} from "../ports/FleetStore.js";

type Response = MessageInitShape<typeof RelayStoreCallResponseSchema>;

/**
 * Executes a store call on behalf of a peer that cannot reach the store.
 *
 * @param store - Store client that calls the store directly.
 * @param request - The relayed call.
 * @param signal - Aborts a watch that waits for events.
 * @returns The result; on failure the error's kind and message, and after a conflict the current values too.
 */
export async function executeRelayedCall(
    store: FleetStore,
    { call }: RelayStoreCallRequest,
    signal: AbortSignal,
): Promise<RelayStoreCallResponse> {
    switch (call.case) {
        case "read":
            return toResponse(
                store.read(call.value.key),
                item => ({ rows: item === undefined ? [] : [toStoreRow(item)] }),
            );
        case "list":
            return toResponse(
                store.list(call.value.prefix, { stale: call.value.stale }),
                ({ items, revision }) => ({ rows: items.map(toStoreRow), revision }),
            );
        case "commit":
            return toResponse(store.commit(toTransaction(call.value)), revision => ({ revision }));
        case "watch":
            return toResponse(
                store.watch(call.value.prefix, call.value.after, call.value.waitMs, signal),
                ({ events, revision }) => ({ rows: events.map(toStoreRow), revision }),
            );
        case "grantLeaseMs":
            return toResponse(
                store.grantLease(call.value),
                ({ id, ttlMs }) => ({ lease: id, leaseMs: ttlMs }),
            );
        case "renewLease":
            return toResponse(store.renewLease(call.value as LeaseId), () => ({}));
        case "endLease":
            return toResponse(store.endLease(call.value as LeaseId), () => ({}));
        case undefined:
            return create(RelayStoreCallResponseSchema, {
                errorKind: "invalid",
                errorMessage: "The relayed call names no operation. Set one operation in 'call'.",
            });
    }
}

async function toResponse<T>(
    result: ResultAsync<T, StoreError>,
    compose: (value: T) => Response,
): Promise<RelayStoreCallResponse> {
    const settled = await result;
    if (settled.isOk()) {
        return create(RelayStoreCallResponseSchema, compose(settled.value) as never);
    }
    const { error } = settled;
    return create(RelayStoreCallResponseSchema, {
        errorKind: error.kind,
        errorMessage: error.message,
        rows: error.kind === "conflict" ? error.items.map(toStoreRow) : [],
    });
}

/**
 * Converts a store item or event to the message that daemons exchange.
 *
 * @param item - Item or event; the value is `undefined` if the key was removed.
 * @returns The row message.
 */
export function toStoreRow(item: StoreItem | StoreEvent): StoreRow {
    return create(StoreRowSchema, {
        key: item.key,
        revision: item.revision,
        ...(item.value === undefined ? {} : { value: item.value }),
    });
}

function toTransaction(commit: {
    readonly expect: readonly StoreRow[];
    readonly puts: readonly StoreRow[];
    readonly removals: readonly string[];
}): StoreTransaction {
    return {
        expect: commit.expect.map(({ key, revision }) => ({ key, revision })),
        puts: commit.puts.map(({ key, value, lease }) => ({
            key,
            value: value ?? new Uint8Array(),
            ...(lease === "" ? {} : { lease: lease as LeaseId }),
        })),
        removals: commit.removals,
    };
}
