import { startDeadline } from "@balsamward/scheduler/startDeadline";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import { STORE_CALL_TIMEOUT_MS, WATCH_GRACE_MS } from "./constants.js";
import type { StoreError } from "./StoreError.js";
import type { RawChanges, RawListing, RawValue, StoreTransport } from "./StoreTransport.js";

type WireValue = { readonly key: string; readonly revision: number; readonly value: string };
type WireChange = { readonly key: string; readonly revision: number; readonly value?: string };
type StoreRequest = {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly query: Readonly<Record<string, string | number | undefined>>;
    readonly body?: Uint8Array;
    readonly timeoutMs?: number;
    readonly signal?: AbortSignal;
    /** Whether the call changes the store, so that its effect is unknown if the response is lost. */
    readonly isWrite: boolean;
};
type StoreResponse = { readonly status: number; readonly json: unknown };

/** Options of `createHttpStoreTransport`. */
export type CreateHttpStoreTransportOptions = {
    /** Called after each call with its operation and with `done` or the kind of its error, for metrics. */
    readonly onCall?: (operation: string, result: string) => void;
};

/**
 * Creates a transport to the platform's key-value service over HTTP.
 *
 * @param address - Base URL in the form `http://IP:port`.
 * @param options - The callback that observes the calls.
 * @returns The transport. Every call ends within its timeout.
 *
 * @example
 * const transport = createHttpStoreTransport("http://127.0.0.1:7001");
 */
export function createHttpStoreTransport(
    address: string,
    options: CreateHttpStoreTransportOptions = {},
): StoreTransport {
    const agent = new Agent({ connections: 16, pipelining: 1 });
    const send = (operation: string, request: StoreRequest): ResultAsync<StoreResponse, StoreError> =>
        ResultAsync.fromPromise(
            sendRequest(agent, address, request),
            error => toStoreError(error, request.isWrite),
        )
            .andThen(response => checkStatus(response, request.isWrite))
            .andTee(() => options.onCall?.(operation, "done"))
            .orTee(error => options.onCall?.(operation, error.kind));
    return {
        get: key =>
            send("get", { method: "GET", path: "/v1/value", query: { key }, isWrite: false })
                .map(response =>
                    response.status === 404 ? undefined : decodeValue(response.json as WireValue)
                ),
        list: prefix =>
            send("list", { method: "GET", path: "/v1/values", query: { prefix }, isWrite: false })
                .map(response =>
                    decodeListing(response.json as { revision: number; values: readonly WireValue[] })
                ),
        write: ({ key, bytes, expectedRevision, lease }) =>
            send("write", {
                method: "PUT",
                path: "/v1/value",
                query: { key, expect: expectedRevision, lease },
                body: bytes,
                isWrite: true,
            })
                .andThen(failIfLeaseMissing)
                .map(response => (response.json as { revision: number }).revision),
        remove: (key, expectedRevision) =>
            send("remove", {
                method: "DELETE",
                path: "/v1/value",
                query: { key, expect: expectedRevision },
                isWrite: true,
            })
                .map(() => undefined),
        grantLease: ttlMs =>
            send("grant", { method: "POST", path: "/v1/leases", query: { ttl_ms: ttlMs }, isWrite: true })
                .map(response => (response.json as { lease: string }).lease),
        renewLease: lease =>
            send("renew", { method: "POST", path: "/v1/leases/renewal", query: { lease }, isWrite: true })
                .andThen(failIfLeaseMissing)
                .map(() => undefined),
        revokeLease: lease =>
            send("revoke", { method: "DELETE", path: "/v1/leases", query: { lease }, isWrite: true })
                .map(() => undefined),
        waitForChanges: (prefix, after, waitMs, signal) =>
            send("watch", {
                method: "GET",
                path: "/v1/changes",
                query: { prefix, after, wait_ms: waitMs },
                timeoutMs: waitMs + WATCH_GRACE_MS,
                signal,
                isWrite: false,
            }).map(response =>
                decodeChanges(response.json as { revision: number; changes: readonly WireChange[] })
            ),
    };
}

async function sendRequest(agent: Agent, address: string, request: StoreRequest): Promise<StoreResponse> {
    const controller = new AbortController();
    const endDeadline = startDeadline(
        request.timeoutMs ?? STORE_CALL_TIMEOUT_MS,
        reason => controller.abort(reason),
        request.signal,
    );
    try {
        const response = await agent.request({
            origin: address,
            path: request.path,
            query: Object.fromEntries(
                Object.entries(request.query).filter(([, value]) => value !== undefined),
            ),
            method: request.method,
            body: request.body ?? null,
            signal: controller.signal,
        });
        return { status: response.statusCode, json: await response.body.json() };
    }
    finally {
        endDeadline();
    }
}

function toStoreError(error: unknown, isWrite: boolean): StoreError {
    const code = (error as { code?: string }).code ?? "";
    const cause = code === "" ? String(error) : code;
    return isWrite && code !== "ECONNREFUSED"
        ? {
            kind: "unclear",
            message: `The response to a store write is lost (${cause}). Read the value back.`,
        }
        : { kind: "unavailable", message: `The store cannot be reached (${cause}). Try again later.` };
}

function checkStatus(response: StoreResponse, isWrite: boolean): ResultAsync<StoreResponse, StoreError> {
    const fail = (error: StoreError) => errAsync<StoreResponse, StoreError>(error);
    if (response.status === 200 || response.status === 404) {
        return okAsync(response);
    }
    if (response.status === 409) {
        const { revision } = response.json as { revision: number };
        return fail({
            kind: "conflict",
            message: "The value has changed since it was read. Read it again.",
            revision,
        });
    }
    if (response.status === 410) {
        return fail({
            kind: "compacted",
            message: "The store has discarded the changes. List the values again.",
        });
    }
    if (response.status === 413) {
        return fail({ kind: "too-large", message: "The value exceeds the store's size limit. Split it." });
    }
    return fail({
        kind: isWrite ? "unclear" : "unavailable",
        message: `The store returns the HTTP status ${response.status}. Try again later.`,
    });
}

function failIfLeaseMissing(response: StoreResponse): ResultAsync<StoreResponse, StoreError> {
    const error: StoreError = {
        kind: "lease-lost",
        message: "The lease no longer exists. Request a new one.",
    };
    return response.status === 404
        ? errAsync(error)
        : okAsync(response);
}

function decodeValue(wire: WireValue): RawValue {
    return { key: wire.key, revision: wire.revision, bytes: Buffer.from(wire.value, "base64") };
}

function decodeListing(wire: { revision: number; values: readonly WireValue[] }): RawListing {
    return { revision: wire.revision, values: wire.values.map(decodeValue) };
}

function decodeChanges(wire: { revision: number; changes: readonly WireChange[] }): RawChanges {
    const changes = wire.changes.map(({ key, revision, value }) => ({
        key,
        revision,
        bytes: value === undefined ? undefined : Buffer.from(value, "base64"),
    }));
    return { revision: wire.revision, changes };
}
