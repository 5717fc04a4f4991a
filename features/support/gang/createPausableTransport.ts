import type { StoreError, StoreTransport } from "@balsamward/coordination";
import { ResultAsync } from "neverthrow";
import type { OwnerPauses } from "./OwnerPauses.js";

/**
 * Creates a store transport whose reads and writes of single values block while their owner is paused or dead.
 *
 * @param transport - The transport that executes the calls.
 * @param pauses - The owners that are paused or dead.
 * @param epoch - The epoch of the owner that calls.
 * @returns The transport of the owner.
 */
export function createPausableTransport(
    transport: StoreTransport,
    pauses: OwnerPauses,
    epoch: number,
): StoreTransport {
    const callWhenResumed = <T>(call: () => ResultAsync<T, StoreError>): ResultAsync<T, StoreError> =>
        pauses.isPaused(epoch) ? new ResultAsync(pauses.waitWhilePaused(epoch).then(call)) : call();
    return {
        ...transport,
        get: key => callWhenResumed(() => transport.get(key)),
        write: write => callWhenResumed(() => transport.write(write)),
    };
}
