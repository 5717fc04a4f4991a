import type { ListenOptions } from "@balsamward/scheduler/listenOn";
import { startRpcListener } from "@balsamward/scheduler/startRpcListener";
import type { CellId, JobId, NodeId } from "@balsamward/schema";
import { FetchConfigurationResponseSchema, PeerService } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { Code, ConnectError } from "@connectrpc/connect";
import type { ConnectRouter } from "@connectrpc/connect";
import type { ServerHttp2Session } from "node:http2";
import type { OwnedCell } from "../cells/openCell.js";
import { BYTE_COUNT_INTERVAL_MS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { composeHeartbeat, receiveHeartbeat } from "./composeHeartbeat.js";
import type { PeerClients } from "./maintainPeerConnection.js";
import { fetchConfiguration } from "./maintainPeerConnection.js";

/** The listener for calls of other daemons. */
export type PeerListener = { readonly close: () => Promise<void> };

/**
 * Starts the RPC listener for calls of other daemons.
 *
 * @param state - The daemon's state.
 * @param clients - The clients of the connected peers.
 * @param address - The address to listen on as `IP:port`.
 * @param options - How the server comes to listen.
 * @returns The listener.
 *
 * @example
 * const listener = await startPeerListener(state, clients, "127.0.0.1:7400");
 */
export async function startPeerListener(
    state: DaemonState,
    clients: PeerClients,
    address: string,
    options: ListenOptions = {},
): Promise<PeerListener> {
    const listener = await startRpcListener(router => addRoutes(router, state, clients), address, options);
    const byteCountTimer = setInterval(
        () => listener.sessions.forEach(session => countBytes(state, session)),
        BYTE_COUNT_INTERVAL_MS,
    );
    return {
        close: () => {
            clearInterval(byteCountTimer);
            return listener.close();
        },
    };
}

const lastByteCounts = new WeakMap<ServerHttp2Session, { readonly read: number; readonly written: number }>();

/** Adds the bytes transferred over a connection since the last count to the metrics. */
function countBytes(state: DaemonState, session: ServerHttp2Session): void {
    const { bytesRead: read, bytesWritten: written } = session.socket;
    const previous = lastByteCounts.get(session) ?? { read: 0, written: 0 };
    lastByteCounts.set(session, { read, written });
    state.metrics.peerBytes.inc({ direction: "in" }, read - previous.read);
    state.metrics.peerBytes.inc({ direction: "out" }, written - previous.written);
}

function addRoutes(router: ConnectRouter, state: DaemonState, clients: PeerClients): void {
    const requireOwnedCell = (cell: string): OwnedCell => {
        const owned = state.ownedCells.get(cell as CellId);
        if (owned === undefined) {
            throw new ConnectError(
                "This daemon does not own the cell. Ask its owner.",
                Code.FailedPrecondition,
            );
        }
        return owned;
    };
    router.service(PeerService, {
        exchange: request => {
            const { heartbeat } = request;
            if (heartbeat !== undefined && receiveHeartbeat(state, heartbeat)) {
                startConfigurationFetch(state, clients, heartbeat.node as NodeId);
            }
            return { heartbeat: composeHeartbeat(state) };
        },
        fetchConfiguration: () =>
            create(
                FetchConfigurationResponseSchema,
                state.activeConfiguration === undefined
                    ? {}
                    : { configuration: state.activeConfiguration.configuration },
            ),
        submitJob: request => requireOwnedCell(request.cell).submit(request.job!),
        getJob: request => requireOwnedCell(request.cell).get(request.job as JobId),
        cancelJob: request => requireOwnedCell(request.cell).cancel(request.job as JobId),
        inspectCell: request => requireOwnedCell(request.cell).inspect(),
    });
}

function startConfigurationFetch(state: DaemonState, clients: PeerClients, node: NodeId): void {
    const client = clients.get(node);
    if (client !== undefined) {
        state.backgroundTasks.start(() => fetchConfiguration(state, client).catch(() => undefined));
    }
}
