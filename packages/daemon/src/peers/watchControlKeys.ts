import type { RawChange, WatchEvent } from "@balsamward/coordination";
import { configurationKey, controlPrefix, decodeEnvelope, watchPrefix } from "@balsamward/coordination";
import type { CellId, NodeId } from "@balsamward/schema";
import { ConfigurationSchema, MemberSchema, OwnershipSchema } from "@balsamward/schema";
import type { DaemonState } from "../DaemonState.js";
import { toRegisteredOwner } from "./Membership.js";

/**
 * Watches the members, the owners and the configuration in the store until the signal aborts.
 *
 * @param state - The daemon's state.
 * @param onChange - Called after each event of the watch is applied.
 * @param signal - Ends the watch.
 *
 * @example
 * await watchControlKeys(state, () => wake(), signal);
 */
export async function watchControlKeys(
    state: DaemonState,
    onChange: () => void,
    signal: AbortSignal,
): Promise<void> {
    const prefix = controlPrefix(state.environment);
    const handleEvent = (event: WatchEvent) => {
        applyWatchEvent(state, prefix, event);
        onChange();
    };
    await watchPrefix(state.store.transport, prefix, handleEvent, signal, { random: state.random });
}

function applyWatchEvent(state: DaemonState, prefix: string, event: WatchEvent): void {
    switch (event.kind) {
        case "listing":
            state.lastWatchEventAt = performance.now();
            state.membership.members.clear();
            state.membership.owners.clear();
            event.values.forEach(value => applyChange(state, prefix, value));
            return;
        case "change":
            state.lastWatchEventAt = performance.now();
            applyChange(state, prefix, event.change);
            return;
        case "lost":
            state.log.warn("The watch of the store is lost.", { error: event.message });
            return;
        default:
            event satisfies never;
    }
}

function applyChange(state: DaemonState, prefix: string, change: RawChange): void {
    const [section, name] = change.key.slice(prefix.length).split("/");
    if (change.key === configurationKey(state.environment)) {
        applyConfigurationChange(state, change);
    }
    else if (section === "members") {
        applyMemberChange(state, name as NodeId, change);
    }
    else if (section === "owners") {
        applyOwnerChange(state, name as CellId, change);
    }
}

function applyConfigurationChange(state: DaemonState, change: RawChange): void {
    if (change.bytes === undefined) {
        return;
    }
    const decoded = decodeEnvelope(ConfigurationSchema, change.bytes);
    if (decoded.isErr()) {
        state.log.error("The stored configuration cannot be read and is ignored.", {
            error: decoded.error.message,
        });
        return;
    }
    state.configurationTracker.applyIfNewer(decoded.value.message);
}

function applyMemberChange(state: DaemonState, node: NodeId, change: RawChange): void {
    const decoded = change.bytes === undefined ? undefined : decodeEnvelope(MemberSchema, change.bytes);
    state.membership.membersChangedAt = performance.now();
    if (decoded?.isOk()) {
        state.membership.members.set(node, decoded.value.message);
    }
    else {
        state.membership.members.delete(node);
    }
}

function applyOwnerChange(state: DaemonState, cell: CellId, change: RawChange): void {
    const decoded = change.bytes === undefined ? undefined : decodeEnvelope(OwnershipSchema, change.bytes);
    if (decoded?.isOk()) {
        state.membership.owners.set(cell, toRegisteredOwner(decoded.value.message, change.revision));
    }
    else {
        state.membership.owners.delete(cell);
    }
}
