import type { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "../cluster/Cluster.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import type { Reply } from "./Reply.js";

const CALLER_TIMEOUT_MS = 3_000;
const CLOCK_STEP_MS = 50;

/** Creates the services of a daemon that is not the owner. */
export function createCallContext(world: TestWorld): CallContext {
    return {
        cluster: world.note<Cluster>("cluster"),
        store: world.note<FakeFleetStore>("store").createClient(),
        localOwner: () => undefined,
        pause: getClock(world).pause,
    };
}

/** Returns the logical clock of the scenario. */
export function getClock(world: TestWorld): FakeClock {
    return world.note<FakeClock>("clock");
}

/** Returns the bounds of a call that arrives now. */
export function getBounds(world: TestWorld): CallBounds {
    const signal = world.notes.get("callSignal") as AbortSignal | undefined;
    return {
        deadline: world.note<Cluster>("cluster").clock() + CALLER_TIMEOUT_MS,
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
