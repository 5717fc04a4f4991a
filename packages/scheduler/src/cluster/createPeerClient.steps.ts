import { Code, ConnectError } from "@connectrpc/connect";
import { Given, Then, When } from "@cucumber/cucumber";
import { ok, ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import { once } from "node:events";
import { connect } from "node:net";
import { Worker } from "node:worker_threads";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import { SilenceableProxy } from "../../../../features/support/SilenceableProxy.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { collectUnhandledErrors, SETTLING_TURNS } from "../../../../features/support/unhandledErrors.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import { pause } from "../pause.js";
import type { FleetStore, StoreItem } from "../ports/FleetStore.js";
import type { PeerClient } from "./createPeerClient.js";
import { createPeerClient, isConnectionRefused } from "./createPeerClient.js";
import { serveCluster } from "./serveCluster.js";

const CALL_TIMEOUT_MS = 2_000;

/** Listens, posts its port, and blocks, so that no connection is accepted. */
const BLOCKED_SERVER_SOURCE = `
    const { createServer } = require("node:net");
    const { parentPort } = require("node:worker_threads");
    const server = createServer();
    server.listen({ host: "127.0.0.1", port: 0, backlog: 1 }, () => {
        parentPort.postMessage(server.address().port);
        Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
    });
`;

/** Number of connections that fill the queue of a server whose backlog is 1. */
const QUEUED_CONNECTIONS = 2;

/** A peer that serves calls on loopback, and a client that has called it. */
type CalledPeer = {
    readonly client: PeerClient;
    /** Lets the peer answer the calls that read a value from the store. */
    readonly answerReads: () => void;
    readonly stop: () => Promise<void>;
};

async function startCalledPeer(
    getClientAddress = async (peerAddress: string): Promise<string> => peerAddress,
): Promise<CalledPeer> {
    const cluster = createTestCluster("peer", await findFreeAddress());
    let answerReads = (): void => {};
    const answered = new Promise<void>(resolve => answerReads = resolve);
    const store: FleetStore = {
        ...new FakeFleetStore(() => 0).createClient(),
        read: () => new ResultAsync(answered.then(() => ok<StoreItem | undefined, never>(undefined))),
    };
    const listener = await serveCluster({ cluster, store, localOwner: () => undefined }, cluster.address);
    const client = createPeerClient(await getClientAddress(cluster.address));
    const answer = await callPeer(client);
    assert.ok(!(answer instanceof Error), String(answer));
    return { client, answerReads, stop: listener.close };
}

/** Calls the peer; the result is the answer, or the error. */
function callPeer(client: PeerClient): Promise<unknown> {
    return client.calls.fetchConfiguration({}, { timeoutMs: CALL_TIMEOUT_MS }).catch(error => error);
}

async function useWhilePeerStops(
    world: TestWorld,
    lastTurn: number,
    use: (client: PeerClient) => unknown,
): Promise<void> {
    collectUnhandledErrors(world);
    for (let turn = 0; turn <= lastTurn; turn++) {
        const peer = await startCalledPeer();
        const stopped = peer.stop();
        await waitTurns(turn);
        await use(peer.client);
        await waitTurns(SETTLING_TURNS);
        peer.client.reset();
        await stopped;
    }
}

When(
    "a called peer stops, and the client calls it 0 to {int} turns of the event loop later",
    async function(this: TestWorld, lastTurn: number) {
        await useWhilePeerStops(this, lastTurn, callPeer);
    },
);

When(
    "a called peer stops, and the client resets its connection 0 to {int} turns of the event loop later",
    async function(this: TestWorld, lastTurn: number) {
        await useWhilePeerStops(this, lastTurn, client => client.reset());
    },
);

Given("a called peer and a call to it in progress", async function(this: TestWorld) {
    collectUnhandledErrors(this);
    const peer = await startCalledPeer();
    this.notes.set("peer", peer);
    const request = { call: { case: "read", value: { key: "key" } } } as const;
    this.notes.set(
        "callInProgress",
        peer.client.calls.relayStoreCall(request, { timeoutMs: CALL_TIMEOUT_MS }).catch(error => error),
    );
    // The peer has received the call by the time it answers a later one on the same connection.
    await callPeer(peer.client);
    this.cleanups.push(async () => {
        peer.client.reset();
        await peer.stop();
    });
});

When("the peer stops", function(this: TestWorld) {
    void this.note<CalledPeer>("peer").stop();
});

When("the client resets its connection", async function(this: TestWorld) {
    this.note<CalledPeer>("peer").client.reset();
    await waitTurns(SETTLING_TURNS);
});

When("the peer answers the call in progress", async function(this: TestWorld) {
    this.note<CalledPeer>("peer").answerReads();
});

Then("the call in progress is answered", async function(this: TestWorld) {
    const answer = await this.note<Promise<unknown>>("callInProgress");
    assert.ok(!(answer instanceof Error), String(answer));
});

Then("the call in progress has failed as canceled", async function(this: TestWorld) {
    const error = await this.note<Promise<unknown>>("callInProgress");
    assert.equal(ConnectError.from(error).code, Code.Canceled);
});

Then("a new call is answered", async function(this: TestWorld) {
    const answer = await callPeer(this.note<CalledPeer>("peer").client);
    assert.ok(!(answer instanceof Error), String(answer));
});

Then("a new call has failed with a refused connection", async function(this: TestWorld) {
    const error = await callPeer(this.note<CalledPeer>("peer").client);
    assert.ok(isConnectionRefused(error), String(error));
});

Given("a called peer behind a proxy", async function(this: TestWorld) {
    collectUnhandledErrors(this);
    const peer = await startCalledPeer(address => {
        const proxy = new SilenceableProxy(address);
        this.notes.set("proxy", proxy);
        return proxy.listen();
    });
    this.notes.set("peer", peer);
    this.cleanups.push(async () => {
        peer.client.reset();
        this.note<SilenceableProxy>("proxy").close();
        await peer.stop();
    });
});

When("all open connections of the proxy go silent", function(this: TestWorld) {
    this.note<SilenceableProxy>("proxy").silence();
});

When("nothing is called for {int} ms", async function(this: TestWorld, idleMs: number) {
    await pause(idleMs);
});

Then("one of the next {int} calls is answered", async function(this: TestWorld, count: number) {
    const outcomes: string[] = [];
    for (let made = 0; made < count; made++) {
        const answer = await callPeer(this.note<CalledPeer>("peer").client);
        outcomes.push(answer instanceof Error ? String(answer) : "answered");
    }
    assert.ok(outcomes.includes("answered"), outcomes.join("; "));
});

Given("a peer whose queue of new connections is full", async function(this: TestWorld) {
    collectUnhandledErrors(this);
    const thread = new Worker(BLOCKED_SERVER_SOURCE, { eval: true });
    this.cleanups.push(async () => void await thread.terminate());
    const [port] = await once(thread, "message") as [number];
    for (let queued = 0; queued < QUEUED_CONNECTIONS; queued++) {
        const socket = connect(port, "127.0.0.1");
        socket.on("error", () => {});
        this.cleanups.push(() => void socket.destroy());
        await once(socket, "connect");
    }
    const client = createPeerClient(`127.0.0.1:${port}`);
    this.notes.set("client", client);
    this.cleanups.push(() => client.reset());
});

Then("a call to it has failed as canceled", async function(this: TestWorld) {
    const error = await callPeer(this.note<PeerClient>("client"));
    assert.equal(ConnectError.from(error).code, Code.Canceled);
});
