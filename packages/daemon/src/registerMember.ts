import type { HeldLease } from "@balsamward/coordination";
import { memberKey } from "@balsamward/coordination";
import { pause } from "@balsamward/scheduler/pause";
import { MemberSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { REGISTRATION_RETRY_DELAY_MS } from "./constants.js";
import type { DaemonState } from "./DaemonState.js";

/**
 * Registers the daemon as a member in the store, and tries again until the store accepts it.
 *
 * Gives up as soon as the lease is no longer valid or the daemon has another one.
 *
 * @param state - The daemon's state.
 * @param lease - The lease at whose end the store removes the member.
 *
 * @example
 * await registerMember(state, lease);
 */
export async function registerMember(state: DaemonState, lease: HeldLease): Promise<void> {
    const key = memberKey(state.environment, state.node);
    while (state.memberLease === lease && lease.isValid()) {
        const existing = await state.store.transport.get(key);
        const written = existing.isErr() ? existing : await state.store.write(MemberSchema, {
            key,
            message: create(MemberSchema, {
                node: state.node,
                dataCentre: state.dataCentre,
                peerAddress: state.peerAddress,
            }),
            expectedRevision: existing.value?.revision ?? 0,
            lease: lease.id,
        });
        if (written.isOk()) {
            return;
        }
        state.log.warn("The daemon cannot register as a member. It tries again.", {
            error: written.error.message,
        });
        await pause(REGISTRATION_RETRY_DELAY_MS);
    }
}
