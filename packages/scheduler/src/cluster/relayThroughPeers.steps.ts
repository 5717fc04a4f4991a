import { Code, ConnectError } from "@connectrpc/connect";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Result } from "neverthrow";
import { ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import { once } from "node:events";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import { stopTimers } from "../../../../features/support/stopTimers.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { collectUnhandledErrors, SETTLING_TURNS } from "../../../../features/support/unhandledErrors.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { FleetStore, StoreError, StoreTransaction } from "../ports/FleetStore.js";
import type { RpcListener } from "../startRpcListener.js";
import { createPeerClient } from "./createPeerClient.js";
import { createRelayingStore } from "./createRelayingStore.js";
import { serveCluster } from "./serveCluster.js";

/** Number of writes that are sent before the peer stops, and after it has begun to stop. */
const WRITES_PER_PHASE = 20;

/** Numbers of turns of the event loop between two writes; a stop meets the writes at other stages with each. */
const WRITE_INTERVALS = [0, 1, 2, 3];

/** Turns of the event loop for which a peer delays a write. */
const WRITE_DELAY_TURNS = 5;

/** Time without an answer after which a connection is certainly pinged before its next use, in milliseconds. */
const IDLE_MS = 600;

/** A daemon that relays its writes, and the peers it relays through. */
type Relay = {
    readonly store: FleetStore;
    /** The store that the peers reach. */
    readonly backend: FakeFleetStore;
    /** The listeners of the peers, the one that is tried first at the start. */
    readonly listeners: readonly RpcListener[];
};

/** A write that was sent, by its key. */
type Write = { readonly key: string; readonly result: Result<number, StoreError> };

/**
 * Delays writes as a store on another machine does, so that a peer may stop while it makes one. A write fails after it
 * has taken effect if the scenario has the note `peerError`, and waits for the promise in the note `writesReleased`.
 */
function delayWrites(world: TestWorld, client: FleetStore): FleetStore {
    const commit = async (transaction: StoreTransaction): Promise<Result<number, StoreError>> => {
        await waitTurns(WRITE_DELAY_TURNS);
        await world.notes.get("writesReleased");
        const result = await client.commit(transaction);
        if (world.notes.has("peerError")) {
            throw world.note<Error>("peerError");
        }
        return result;
    };
    return { ...client, commit: transaction => new ResultAsync(commit(transaction)) };
}

async function startRelay(world: TestWorld, peerCount: number): Promise<Relay> {
    const cluster = createTestCluster("here", "127.0.0.1:1", () => 0);
    const backend = new FakeFleetStore(() => 0);
    const listeners: RpcListener[] = [];
    for (let number = 0; number < peerCount; number++) {
        const peerCluster = createTestCluster(`peer-${number}`, await findFreeAddress());
        const store = delayWrites(world, backend.createClient());
        const listener = await serveCluster(
            { cluster: peerCluster, store, localOwner: () => undefined },
            peerCluster.address,
        );
        const client = createPeerClient(peerCluster.address);
        listeners.push(listener);
        cluster.peers.set(
            peerCluster.address,
            createTestPeer(peerCluster.address, {}, { client, lastContactAt: -number }),
        );
        world.cleanups.push(async () => {
            client.reset();
            await listener.close();
        });
    }
    cluster.reachesStore = false;
    return { store: createRelayingStore(backend.createClient(), cluster), backend, listeners };
}

function startRelays(count: number) {
    return async function(this: TestWorld): Promise<void> {
        collectUnhandledErrors(this);
        const relays: Relay[] = [];
        for (let started = 0; started < WRITE_INTERVALS.length; started++) {
            relays.push(await startRelay(this, count));
        }
        this.notes.set("relays", relays);
    };
}

Given("two peers that reach the store, and a daemon that relays its writes through them", startRelays(2));

Given("a peer that reaches the store, and a daemon that relays its writes through it", startRelays(1));

async function write({ store }: Relay, key: string): Promise<Write> {
    const transaction = {
        expect: [{ key, revision: 0 }],
        puts: [{ key, value: new Uint8Array([1]) }],
        removals: [],
    };
    return { key, result: await store.commit(transaction) };
}

async function writeDuringStop(relay: Relay, intervalTurns: number): Promise<readonly Write[]> {
    const writes: Promise<Write>[] = [];
    const sendWrites = async (phase: string): Promise<void> => {
        for (let sent = 0; sent < WRITES_PER_PHASE; sent++) {
            writes.push(write(relay, `${phase}-${sent}`));
            await waitTurns(intervalTurns);
        }
    };
    await sendWrites("before");
    const stopped = relay.listeners[0]!.close();
    await sendWrites("after");
    await stopped;
    return Promise.all(writes);
}

When("the daemon goes on writing while the peer it prefers stops", async function(this: TestWorld) {
    stopTimers(this);
    const writes: (readonly Write[])[] = [];
    for (const [index, relay] of this.note<readonly Relay[]>("relays").entries()) {
        writes.push(await writeDuringStop(relay, WRITE_INTERVALS[index]!));
    }
    this.notes.set("writes", writes);
});

/** Waits without a timer. */
async function idle(durationMs: number): Promise<void> {
    const endAt = performance.now() + durationMs;
    while (performance.now() < endAt) {
        await waitTurns(1);
    }
}

When(
    "the peer that the daemon prefers stops while a write waits for the answer to a ping",
    async function(this: TestWorld) {
        stopTimers(this);
        const [relay] = this.note<readonly Relay[]>("relays");
        const [preferred] = relay!.listeners;
        let releaseWrites = (): void => {};
        this.notes.set("writesReleased", new Promise<void>(resolve => releaseWrites = resolve));
        const writes = [write(relay!, "in-progress")];
        await idle(IDLE_MS);
        const pinged = Promise.all([...preferred!.sessions].map(session => once(session, "ping")));
        writes.push(write(relay!, "pinged"));
        // The client reads the GOAWAY frame while it waits; the call in progress keeps the connection open.
        const stopped = preferred!.close();
        await pinged;
        releaseWrites();
        const written = await Promise.all(writes);
        await stopped;
        this.notes.set("writes", [written]);
    },
);

When("the peer that the daemon prefers is cut off during a write", async function(this: TestWorld) {
    const [relay] = this.note<readonly Relay[]>("relays");
    relay!.backend.writeFaults.push("silent");
    const written = write(relay!, "cut-off");
    while (relay!.backend.get("cut-off") === undefined) {
        await waitTurns(1);
    }
    relay!.listeners[0]!.sessions.forEach(session => session.destroy());
    this.notes.set("written", await written);
});

When(
    "the peer that the daemon prefers makes a write, and fails with the message {string}",
    async function(this: TestWorld, message: string) {
        const [relay] = this.note<readonly Relay[]>("relays");
        this.notes.set("peerError", new ConnectError(message, Code.Unavailable));
        this.notes.set("written", await write(relay!, "failed"));
    },
);

/** Returns the failed writes, with the error and whether the store holds the value all the same. */
function listFailures(world: TestWorld): readonly string[] {
    const relays = world.note<readonly Relay[]>("relays");
    return world.note<readonly (readonly Write[])[]>("writes").flatMap((writes, index) =>
        writes.flatMap(({ key, result }) => {
            const isStored = relays[index]!.backend.get(key) !== undefined;
            return result.isOk()
                ? isStored ? [] : [`${key}: missing`]
                : [`${result.error.kind}${isStored ? ", but stored" : ""}`];
        })
    );
}

Then("all writes are made", function(this: TestWorld) {
    assert.deepEqual(listFailures(this), []);
});

Then("each write that has failed is unavailable and has no effect", function(this: TestWorld) {
    const failures = listFailures(this);
    assert.ok(failures.length > 0);
    assert.deepEqual(failures.filter(failure => failure !== "unavailable"), []);
});

Then("the write is unclear, and is sent to the store only once", async function(this: TestWorld) {
    const { result } = this.note<Write>("written");
    assert.equal(result.isErr() ? result.error.kind : "done", "unclear");
    await waitTurns(SETTLING_TURNS);
    assert.equal(this.note<readonly Relay[]>("relays")[0]!.backend.callCounts.get("commit"), 1);
});
