import type { FleetStore } from "@balsamward/scheduler";
import { ResultAsync } from "neverthrow";
import type { SuspendableClock } from "./SuspendableClock.js";

/**
 * Creates a store client whose answers reach the process only while it runs.
 *
 * @param store - The client that makes the calls.
 * @param clock - Clock of the process.
 * @returns The client.
 */
export function createSuspendableStore(store: FleetStore, clock: SuspendableClock): FleetStore {
    const receive = <T, E>(call: ResultAsync<T, E>): ResultAsync<T, E> =>
        new ResultAsync(clock.receive(call));
    return {
        read: key => receive(store.read(key)),
        list: (prefix, options) => receive(store.list(prefix, options)),
        commit: transaction => receive(store.commit(transaction)),
        watch: (prefix, after, waitMs, signal) => receive(store.watch(prefix, after, waitMs, signal)),
        grantLease: ttlMs => receive(store.grantLease(ttlMs)),
        renewLease: lease => receive(store.renewLease(lease)),
        endLease: lease => receive(store.endLease(lease)),
    };
}
