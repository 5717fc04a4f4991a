import type { RawChange, WatchEvent } from "@balsamward/coordination";
import { configurationKey, controlPrefix, decodeEnvelope, watchPrefix } from "@balsamward/coordination";
import type { CellId, NodeId } from "@balsamward/schema";
import { ConfigurationSchema, MemberSchema, OwnershipSchema } from "@balsamward/schema";
import type { DaemonState } from "../DaemonState.js";
import { registeredOwner } from "./Membership.js";

/**
 * Follows members, owners and the configuration in the store until the signal aborts.
 *
 * @param state - The daemon.
 * @param onChange - Called after each change.
 * @param signal - Ends the watch.
 *
 * @example
 * await runControlWatch(state, () => wake(), signal);
 */
export async function runControlWatch(
    state: DaemonState,
    onChange: () => void,
    signal: AbortSignal,
): Promise<void> {
    const prefix = controlPrefix(state.environment);
    const notify = (event: WatchEvent) => {
        receiveEvent(state, prefix, event);
        onChange();
    };
    await watchPrefix(state.store.transport, prefix, notify, signal, { random: state.random });
}

function receiveEvent(state: DaemonState, prefix: string, event: WatchEvent): void {
    switch (event.kind) {
        case "listing":
            state.watchedAt = performance.now();
            state.membership.members.clear();
            state.membership.owners.clear();
            event.values.forEach(value => receiveChange(state, prefix, value));
            return;
        case "change":
            state.watchedAt = performance.now();
            receiveChange(state, prefix, event.change);
            return;
        case "lost":
            state.log.warn("The store's watch is lost.", { error: event.message });
            return;
        default:
            event satisfies never;
    }
}

function receiveChange(state: DaemonState, prefix: string, change: RawChange): void {
    const [section, name] = change.key.slice(prefix.length).split("/");
    if (change.key === configurationKey(state.environment)) {
        receiveConfiguration(state, change);
    }
    else if (section === "members") {
        receiveMember(state, name as NodeId, change);
    }
    else if (section === "owners") {
        receiveOwner(state, name as CellId, change);
    }
}

function receiveConfiguration(state: DaemonState, change: RawChange): void {
    if (change.bytes === undefined) {
        return;
    }
    const opened = decodeEnvelope(ConfigurationSchema, change.bytes);
    if (opened.isErr()) {
        state.log.error("The configuration cannot be read.", { error: opened.error.message });
        return;
    }
    state.tracker.applyIfNewer(opened.value.message);
}

function receiveMember(state: DaemonState, node: NodeId, change: RawChange): void {
    const opened = change.bytes === undefined ? undefined : decodeEnvelope(MemberSchema, change.bytes);
    state.membership.changedAt = performance.now();
    if (opened?.isOk()) {
        state.membership.members.set(node, opened.value.message);
    }
    else {
        state.membership.members.delete(node);
    }
}

function receiveOwner(state: DaemonState, cell: CellId, change: RawChange): void {
    const opened = change.bytes === undefined ? undefined : decodeEnvelope(OwnershipSchema, change.bytes);
    if (opened?.isOk()) {
        state.membership.owners.set(cell, registeredOwner(opened.value.message, change.revision));
    }
    else {
        state.membership.owners.delete(cell);
    }
}
