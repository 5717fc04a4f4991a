import type {
    CancelJobResponse,
    CellId,
    GetJobResponse,
    InspectCellResponse,
    Job,
    JobId,
    SubmitJobResponse,
} from "@balsamward/schema";
import { CancelJobResponseSchema, Outcome, Reason, SubmitJobResponseSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import { FORWARD_TIMEOUT_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import type { PeerClient, PeerClients } from "./maintainPeerConnection.js";

/** Forwards calls about a cell to its owner, which is this daemon or a peer. */
export type CellRouter = {
    readonly submit: (cell: CellId, job: Job) => Promise<SubmitJobResponse>;
    /** Returns `undefined` if the owner is unknown or unreachable. */
    readonly get: (cell: CellId, job: JobId) => Promise<GetJobResponse | undefined>;
    readonly cancel: (cell: CellId, job: JobId) => Promise<CancelJobResponse>;
    /** Returns `undefined` if the owner is unknown or unreachable. */
    readonly inspect: (cell: CellId) => Promise<InspectCellResponse | undefined>;
};

/**
 * Creates a router that forwards calls to the owners of cells.
 *
 * @param state - The daemon's state.
 * @param clients - The clients of the connected peers.
 * @returns The router.
 *
 * @example
 * const router = createCellRouter(state, clients);
 */
export function createCellRouter(state: DaemonState, clients: PeerClients): CellRouter {
    const findOwnerClient = (cell: CellId): PeerClient | undefined => {
        const owner = state.membership.owners.get(cell);
        return owner === undefined ? undefined : clients.get(owner.node);
    };
    const options = { timeoutMs: FORWARD_TIMEOUT_MS };
    return {
        submit: async (cell, job) => {
            const owned = state.ownedCells.get(cell);
            if (owned !== undefined) {
                return owned.submit(job);
            }
            const client = findOwnerClient(cell);
            const call = client?.submitJob({ cell, job }, options);
            return await call?.catch(error => create(SubmitJobResponseSchema, classifyCallError(error)))
                ?? create(SubmitJobResponseSchema, { outcome: Outcome.REFUSED, reason: Reason.CELL_UNOWNED });
        },
        get: async (cell, job) =>
            state.ownedCells.get(cell)?.get(job)
                ?? await findOwnerClient(cell)?.getJob({ cell, job }, options).catch(() => undefined),
        cancel: async (cell, job) => {
            const owned = state.ownedCells.get(cell);
            if (owned !== undefined) {
                return owned.cancel(job);
            }
            const call = findOwnerClient(cell)?.cancelJob({ cell, job }, options);
            return await call?.catch(error => create(CancelJobResponseSchema, classifyCallError(error)))
                ?? create(CancelJobResponseSchema, { outcome: Outcome.REFUSED, reason: Reason.CELL_UNOWNED });
        },
        inspect: async cell =>
            state.ownedCells.get(cell)?.inspect()
                ?? await findOwnerClient(cell)?.inspectCell({ cell }, options).catch(() => undefined),
    };
}

/**
 * Derives the outcome of a failed call. A peer that does not own the cell refuses before it changes anything;
 * after any other failure the call may have taken effect.
 */
function classifyCallError(error: unknown): { readonly outcome: Outcome; readonly reason: Reason } {
    return ConnectError.from(error).code === Code.FailedPrecondition
        ? { outcome: Outcome.REFUSED, reason: Reason.CELL_UNOWNED }
        : { outcome: Outcome.UNKNOWN, reason: Reason.OWNER_UNREACHABLE };
}
