import { ResultAsync } from "neverthrow";
import type { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "../cluster/Cluster.js";
import type { JobId } from "../ids.js";
import type { FleetStore, StoreError } from "../ports/FleetStore.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import type { SharedLease } from "./createSharedLease.js";
import { createSharedLease } from "./createSharedLease.js";
import type { Reply } from "./Reply.js";

export const JOB_ID = "00000000000000ab" as JobId;

const CALLER_TIMEOUT_MS = 3_000;
const CLOCK_STEP_MS = 50;

/** Creates the services of a daemon that is not the owner; all contexts of a scenario are of the same daemon. */
export function createCallContext(world: TestWorld): CallContext {
    const cluster = world.note<Cluster>("cluster");
    const store = createStoreClient(world);
    const withdrawalLease = world.note<SharedLease | undefined>("withdrawalLease")
        ?? createSharedLease(store, cluster.clock);
    world.notes.set("withdrawalLease", withdrawalLease);
    return {
        cluster,
        store,
        withdrawalLease,
        localOwner: () => undefined,
        pause: getClock(world).pause,
    };
}

/**
 * Creates a client whose answers to reads and grants take `readDelayMs` and `grantDelayMs`, and which carries out the
 * note `afterRead`, if there is one, once its next read is answered.
 */
function createStoreClient(world: TestWorld): FleetStore {
    const client = world.note<FakeFleetStore>("store").createClient();
    const delay = <T>(call: () => ResultAsync<T, StoreError>, note: string): ResultAsync<T, StoreError> => {
        const delayMs = world.note<number | undefined>(note) ?? 0;
        return delayMs === 0
            ? call()
            : new ResultAsync(getClock(world).pause(delayMs).then(call));
    };
    return {
        ...client,
        read: key =>
            delay(() => client.read(key), "readDelayMs").andTee(() => {
                world.note<(() => void) | undefined>("afterRead")?.();
                world.notes.delete("afterRead");
            }),
        grantLease: ttlMs => delay(() => client.grantLease(ttlMs), "grantDelayMs"),
    };
}

/** Returns the logical clock of the scenario. */
export function getClock(world: TestWorld): FakeClock {
    return world.note<FakeClock>("clock");
}

/** Returns the bounds of a call that arrives now. */
export function getBounds(world: TestWorld): CallBounds {
    const signal = world.notes.get("callSignal") as AbortSignal | undefined;
    const timeoutMs = world.note<number | undefined>("callerTimeoutMs") ?? CALLER_TIMEOUT_MS;
    return {
        deadline: world.note<Cluster>("cluster").clock() + timeoutMs,
        signal: signal ?? new AbortController().signal,
    };
}

/** Advances the logical clock until the reply arrives, and records the reply and the time it took. */
export async function awaitReply(world: TestWorld, reply: Promise<Reply>): Promise<void> {
    const clock = getClock(world);
    let isAnswered = false;
    void reply.finally(() => isAnswered = true);
    const startedAt = clock.now;
    while (!isAnswered) {
        await clock.advance(CLOCK_STEP_MS);
    }
    world.notes.set("reply", await reply);
    world.notes.set("tookMs", clock.now - startedAt);
}
