import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { Agent } from "undici";
import { MAX_CONCURRENT_WORKER_CALLS, WORKER_CALL_TIMEOUT_MS } from "../constants.js";

/** Reason why a command to a worker failed. */
export type WorkerError =
    | { readonly kind: "refused"; readonly reason: "stale-epoch" | "accelerators-held" | "no-reservation" }
    | { readonly kind: "unreachable"; readonly message: string };

/** A worker's report about one reservation. */
export type ReservationReport = {
    readonly id: string;
    readonly job: string;
    readonly state: "reserved" | "running" | "finished" | "failed" | "stopped" | "lapsed";
    /** Cumulative usage in accelerator-milliseconds. */
    readonly heldMs: number;
};

/** Identifies the owner of a cell to workers; the epoch is its fencing token. */
export type CellOwner = { readonly cell: string; readonly epoch: number };

/** A request to reserve accelerators of one worker. */
export type ReservationRequest = {
    readonly id: string;
    readonly job: string;
    readonly customer: string;
    readonly accelerators: number;
    readonly ttlMs: number;
};

/** Sends commands to workers; each command carries the owner's fencing epoch. */
export type WorkerClient = {
    readonly reserve: (
        address: string,
        owner: CellOwner,
        request: ReservationRequest,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    readonly start: (
        address: string,
        owner: CellOwner,
        id: string,
        runMs: number,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    readonly checkpoint: (
        address: string,
        owner: CellOwner,
        id: string,
        timeoutMs: number,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    readonly stop: (
        address: string,
        owner: CellOwner,
        id: string,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    /** Renews all reservations of the cell at the worker, and lets the worker delete the settled ones. */
    readonly renew: (
        address: string,
        owner: CellOwner,
        settled: readonly string[],
        ttlMs: number,
    ) => Promise<Result<readonly ReservationReport[], WorkerError>>;
};

/**
 * Creates an HTTP client for the agents that run on workers.
 *
 * @returns The client; every call resolves within its timeout and never rejects.
 *
 * @example
 * const workers = createWorkerClient();
 */
export function createWorkerClient(): WorkerClient {
    const httpAgent = new Agent({ connections: MAX_CONCURRENT_WORKER_CALLS, pipelining: 1 });
    const call = async <T>(
        method: "POST" | "PUT",
        url: string,
        body: object,
        timeoutMs = WORKER_CALL_TIMEOUT_MS,
    ): Promise<Result<T, WorkerError>> => {
        try {
            const { origin, pathname } = new URL(url);
            const response = await httpAgent.request({
                origin,
                path: pathname,
                method,
                body: JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const answer = await response.body.json();
            if (response.statusCode === 200) {
                return ok(answer as T);
            }
            const { reason } = answer as { reason: "stale-epoch" | "accelerators-held" | "no-reservation" };
            return err({ kind: "refused", reason });
        }
        catch (error) {
            return err({ kind: "unreachable", message: String(error) });
        }
    };
    return {
        reserve: (address, owner, { id, ...request }) =>
            call("PUT", `${address}/reservations/${id}`, { ...owner, ...request }),
        start: (address, owner, id, runMs) =>
            call("POST", `${address}/reservations/${id}/start`, { ...owner, runMs }),
        checkpoint: (address, owner, id, timeoutMs) =>
            call("POST", `${address}/reservations/${id}/checkpoint`, owner, timeoutMs),
        stop: (address, owner, id) => call("POST", `${address}/reservations/${id}/stop`, owner),
        renew: async (address, owner, settled, ttlMs) => {
            const body = { ...owner, settled, ttlMs };
            const result = await call<{ reservations: readonly ReservationReport[] }>(
                "POST",
                `${address}/renewals`,
                body,
            );
            return result.map(answer => answer.reservations);
        },
    };
}
