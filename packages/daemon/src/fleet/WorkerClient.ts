import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { Agent } from "undici";
import { MAX_CONCURRENT_WORKER_CALLS, WORKER_CALL_TIMEOUT_MS } from "../constants.js";

/** Why a worker did not carry out a command. */
export type WorkerError =
    | { readonly kind: "refused"; readonly reason: "stale-epoch" | "accelerators-held" | "no-reservation" }
    | { readonly kind: "unreachable"; readonly message: string };

/** What a worker reports of one reservation. */
export type ReservationReport = {
    readonly id: string;
    readonly job: string;
    readonly state: "reserved" | "running" | "finished" | "failed" | "stopped" | "lapsed";
    /** Accelerator-milliseconds held; cumulative. */
    readonly heldMs: number;
};

/** The owner of a cell, as workers know it. */
export type Commander = { readonly cell: string; readonly epoch: number };

/** A request for accelerators of one worker. */
export type ReservationRequest = {
    readonly id: string;
    readonly job: string;
    readonly customer: string;
    readonly accelerators: number;
    readonly ttlMs: number;
};

/** Commands to the agents of workers; each carries the owner's fencing epoch. */
export type WorkerClient = {
    readonly reserve: (
        address: string,
        by: Commander,
        request: ReservationRequest,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    readonly start: (
        address: string,
        by: Commander,
        id: string,
        runMs: number,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    readonly checkpoint: (
        address: string,
        by: Commander,
        id: string,
        timeoutMs: number,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    readonly stop: (
        address: string,
        by: Commander,
        id: string,
    ) => Promise<Result<ReservationReport, WorkerError>>;
    /** Renews every reservation of the cell at the worker, and forgets the settled ones. */
    readonly renew: (
        address: string,
        by: Commander,
        settled: readonly string[],
        ttlMs: number,
    ) => Promise<Result<readonly ReservationReport[], WorkerError>>;
};

/**
 * Creates a client for the agents of workers.
 *
 * @returns The client; every call ends within its timeout.
 *
 * @example
 * const workers = createWorkerClient();
 */
export function createWorkerClient(): WorkerClient {
    const agent = new Agent({ connections: MAX_CONCURRENT_WORKER_CALLS, pipelining: 1 });
    const call = async <T>(
        method: "POST" | "PUT",
        url: string,
        body: object,
        timeoutMs = WORKER_CALL_TIMEOUT_MS,
    ): Promise<Result<T, WorkerError>> => {
        try {
            const { origin, pathname } = new URL(url);
            const response = await agent.request({
                origin,
                path: pathname,
                method,
                body: JSON.stringify(body),
                signal: AbortSignal.timeout(timeoutMs),
            });
            const json = await response.body.json();
            if (response.statusCode === 200) {
                return ok(json as T);
            }
            const { reason } = json as { reason: "stale-epoch" | "accelerators-held" | "no-reservation" };
            return err({ kind: "refused", reason });
        }
        catch (error) {
            return err({ kind: "unreachable", message: String(error) });
        }
    };
    return {
        reserve: (address, by, { id, ...request }) =>
            call("PUT", `${address}/reservations/${id}`, { ...by, ...request }),
        start: (address, by, id, runMs) =>
            call("POST", `${address}/reservations/${id}/start`, { ...by, runMs }),
        checkpoint: (address, by, id, timeoutMs) =>
            call("POST", `${address}/reservations/${id}/checkpoint`, by, timeoutMs),
        stop: (address, by, id) => call("POST", `${address}/reservations/${id}/stop`, by),
        renew: async (address, by, settled, ttlMs) => {
            const body = { ...by, settled, ttlMs };
            const result = await call<{ reservations: readonly ReservationReport[] }>(
                "POST",
                `${address}/renewals`,
                body,
            );
            return result.map(answer => answer.reservations);
        },
    };
}
