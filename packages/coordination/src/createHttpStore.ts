import { startDeadline } from "@balsamward/scheduler/startDeadline";
import { errAsync, okAsync, ResultAsync } from "neverthrow";
import type { Dispatcher } from "undici";
import { Agent } from "undici";
import { STORE_CALL_TIMEOUT_MS, WATCH_GRACE_MS } from "./constants.js";
import type { StoreError } from "./StoreError.js";
import type { RawChanges, RawListing, RawValue, StoreTransport } from "./StoreTransport.js";

type WireValue = { readonly key: string; readonly revision: number; readonly value: string };
type WireChange = { readonly key: string; readonly revision: number; readonly value?: string };
type Call = {
    readonly method: Dispatcher.HttpMethod;
    readonly path: string;
    readonly query: Readonly<Record<string, string | number | undefined>>;
    readonly body?: Uint8Array;
    readonly timeoutMs?: number;
    readonly signal?: AbortSignal;
    /** Whether a lost answer leaves the effect open. */
    readonly writes: boolean;
};
type Reply = { readonly status: number; readonly json: unknown };

/** Options of `createHttpStore`. */
export type CreateHttpStoreOptions = {
    /** Called after each call, for counters. */
    readonly onCall?: (operation: string, result: string) => void;
};

/**
 * Creates a transport to the platform's key-value service over HTTP.
 *
 * @param address - Base address as `http://IP:port`.
 * @param options - An observer of calls.
 * @returns The transport; every call ends within its timeout.
 *
 * @example
 * const transport = createHttpStore("http://127.0.0.1:7001");
 */
export function createHttpStore(address: string, options: CreateHttpStoreOptions = {}): StoreTransport {
    const agent = new Agent({ connections: 16, pipelining: 1 });
    const send = (operation: string, call: Call): ResultAsync<Reply, StoreError> =>
        ResultAsync.fromPromise(exchange(agent, address, call), error => describeFailure(error, call.writes))
            .andThen(reply => checkStatus(reply, call.writes))
            .andTee(() => options.onCall?.(operation, "done"))
            .orTee(error => options.onCall?.(operation, error.kind));
    return {
        get: key =>
            send("get", { method: "GET", path: "/v1/value", query: { key }, writes: false })
                .map(reply => reply.status === 404 ? undefined : decodeValue(reply.json as WireValue)),
        list: prefix =>
            send("list", { method: "GET", path: "/v1/values", query: { prefix }, writes: false })
                .map(reply =>
                    decodeListing(reply.json as { revision: number; values: readonly WireValue[] })
                ),
        write: ({ key, bytes, expected, lease }) =>
            send("write", {
                method: "PUT",
                path: "/v1/value",
                query: { key, expect: expected, lease },
                body: bytes,
                writes: true,
            })
                .andThen(failIfMissing)
                .map(reply => (reply.json as { revision: number }).revision),
        remove: (key, expected) =>
            send("remove", {
                method: "DELETE",
                path: "/v1/value",
                query: { key, expect: expected },
                writes: true,
            })
                .map(() => undefined),
        grantLease: ttlMs =>
            send("grant", { method: "POST", path: "/v1/leases", query: { ttl_ms: ttlMs }, writes: true })
                .map(reply => (reply.json as { lease: string }).lease),
        renewLease: lease =>
            send("renew", { method: "POST", path: "/v1/leases/renewal", query: { lease }, writes: true })
                .andThen(failIfMissing)
                .map(() => undefined),
        revokeLease: lease =>
            send("revoke", { method: "DELETE", path: "/v1/leases", query: { lease }, writes: true })
                .map(() => undefined),
        waitForChanges: (prefix, after, waitMs, signal) =>
            send("watch", {
                method: "GET",
                path: "/v1/changes",
                query: { prefix, after, wait_ms: waitMs },
                timeoutMs: waitMs + WATCH_GRACE_MS,
                signal,
                writes: false,
            }).map(reply =>
                decodeChanges(reply.json as { revision: number; changes: readonly WireChange[] })
            ),
    };
}

async function exchange(agent: Agent, address: string, call: Call): Promise<Reply> {
    const deadline = startDeadline(call.timeoutMs ?? STORE_CALL_TIMEOUT_MS, call.signal);
    try {
        const response = await agent.request({
            origin: address,
            path: call.path,
            query: Object.fromEntries(Object.entries(call.query).filter(([, value]) => value !== undefined)),
            method: call.method,
            body: call.body ?? null,
            signal: deadline.signal,
        });
        return { status: response.statusCode, json: await response.body.json() };
    }
    finally {
        deadline.end();
    }
}

function describeFailure(error: unknown, writes: boolean): StoreError {
    const code = (error as { code?: string }).code ?? "";
    const cause = code === "" ? String(error) : code;
    return writes && code !== "ECONNREFUSED"
        ? {
            kind: "unclear",
            message: `The store's answer to a write is lost (${cause}). Read the value back.`,
        }
        : { kind: "unavailable", message: `The store cannot be reached (${cause}). Try again later.` };
}

function checkStatus(reply: Reply, writes: boolean): ResultAsync<Reply, StoreError> {
    const fail = (error: StoreError) => errAsync<Reply, StoreError>(error);
    if (reply.status === 200 || reply.status === 404) {
        return okAsync(reply);
    }
    if (reply.status === 409) {
        const { revision } = reply.json as { revision: number };
        return fail({ kind: "conflict", message: "The value has changed. Read it again.", revision });
    }
    if (reply.status === 410) {
        return fail({ kind: "compacted", message: "The changes are no longer kept. List the values again." });
    }
    if (reply.status === 413) {
        return fail({ kind: "too-large", message: "The value is larger than the store takes. Split it." });
    }
    return fail({
        kind: writes ? "unclear" : "unavailable",
        message: `The store answers with status ${reply.status}. Try again later.`,
    });
}

function failIfMissing(reply: Reply): ResultAsync<Reply, StoreError> {
    const error: StoreError = { kind: "lease-lost", message: "The lease has ended. Take a new one." };
    return reply.status === 404
        ? errAsync(error)
        : okAsync(reply);
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
