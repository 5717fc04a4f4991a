import type { EndpointId, Heartbeat } from "@balsamward/schema";
import { HeartbeatSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { DaemonState } from "../DaemonState.js";

/**
 * Composes the heartbeat that a daemon sends to its peers.
 *
 * @param state - The daemon's state.
 * @returns The heartbeat.
 *
 * @example
 * composeHeartbeat(state).configurationGeneration;
 */
export function composeHeartbeat(state: DaemonState): Heartbeat {
    return create(HeartbeatSchema, {
        node: state.node,
        incarnation: state.incarnation,
        configurationGeneration: state.activeConfiguration?.configuration.generation ?? 0n,
        leaving: state.isStopping,
        cells: [...state.ownedCells.values()].map(cell => cell.summarize()),
        leavingEndpoints: [...state.endpointPool.leaving()],
    });
}

/**
 * Records a peer's heartbeat and marks the endpoints that the peer reports as leaving.
 *
 * @param state - The daemon's state.
 * @param heartbeat - The peer's heartbeat.
 * @returns Whether the peer has a newer configuration than this daemon.
 *
 * @example
 * const newer = receiveHeartbeat(state, heartbeat);
 */
export function receiveHeartbeat(state: DaemonState, heartbeat: Heartbeat): boolean {
    state.membership.recordHeartbeat(heartbeat);
    for (const endpoint of heartbeat.leavingEndpoints) {
        state.endpointPool.markLeaving(endpoint as EndpointId);
    }
    return heartbeat.configurationGeneration > (state.activeConfiguration?.configuration.generation ?? 0n);
}
