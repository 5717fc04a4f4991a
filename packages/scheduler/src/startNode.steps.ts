import { Given, Then, When } from "@cucumber/cucumber";
import { ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import winston from "winston";
import { findFreeAddress } from "../../../features/support/findFreeAddress.js";
import { TEST_OPERATOR_KEYS } from "../../../features/support/testOperatorKeys.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { FakeFleetStore } from "../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "./cluster/Cluster.js";
import { listActivePeers } from "./cluster/listActivePeers.js";
import { listRelayPeers } from "./cluster/listRelayPeers.js";
import { createMetrics } from "./Metrics.js";
import { pause } from "./pause.js";
import type { FleetStore, StoreError } from "./ports/FleetStore.js";
import type { Node, NodeOptions } from "./startNode.js";
import { startNode } from "./startNode.js";
import { storeKeys } from "./storeKeys.js";

const NODE = "here";

const POLL_INTERVAL_MS = 10;

/** Well above the duration of a stop, so that one that does not end fails the step. */
const STOP_TIMEOUT_MS = 10_000;

/** A store whose calls take a time, or do not end at all. */
type SlowStore = { readonly backend: FakeFleetStore; readonly client: FleetStore; isSilent: boolean };

function createSlowStore(delayMs: number): SlowStore {
    const backend = new FakeFleetStore(() => performance.now());
    const direct = backend.createClient();
    const call = <T>(start: () => ResultAsync<T, StoreError>): ResultAsync<T, StoreError> =>
        new ResultAsync((async () => {
            await (slowStore.isSilent ? new Promise<never>(() => {}) : pause(delayMs));
            return start();
        })());
    const client: FleetStore = {
        read: key => call(() => direct.read(key)),
        list: (prefix, options) => call(() => direct.list(prefix, options)),
        commit: transaction => call(() => direct.commit(transaction)),
        watch: (prefix, after, waitMs, signal) => call(() => direct.watch(prefix, after, waitMs, signal)),
        grantLease: ttlMs => call(() => direct.grantLease(ttlMs)),
        renewLease: lease => call(() => direct.renewLease(lease)),
        endLease: lease => call(() => direct.endLease(lease)),
    };
    const slowStore: SlowStore = { backend, client, isSilent: false };
    return slowStore;
}

Given("a store that answers after {int} ms", function(this: TestWorld, delayMs: number) {
    this.notes.set("slowStore", createSlowStore(delayMs));
});

function hasRecords(world: TestWorld): readonly boolean[] {
    const { backend } = world.note<SlowStore>("slowStore");
    return [storeKeys.owner, storeKeys.member(NODE)].map(key => backend.get(key) !== undefined);
}

async function startTestNode(
    world: TestWorld,
    name: string,
    options: Partial<NodeOptions> = {},
): Promise<Node> {
    return startNode({
        node: name,
        peerAddress: await findFreeAddress(),
        heartbeatPort: 0,
        processorCores: 0,
        seeds: [],
        store: world.note<SlowStore>("slowStore").client,
        workers: {} as never,
        advice: {} as never,
        machines: { list: async () => [], beginUpkeep: async () => ({ kind: "busy" }) },
        waveRecordFormat: {
            prefix: "waves/",
            decode: () => undefined,
            statusKey: wave => `status/${wave}`,
            encodeStatus: state => Buffer.from(state),
        },
        workersPrefix: "workers/",
        decodeWorkerReport: () => undefined,
        operatorKeys: TEST_OPERATOR_KEYS,
        decodeConfiguration: () => {
            throw new Error("No configuration is expected.");
        },
        bounds: { maxHoldMs: 10_000, stateRetentionMs: 120_000 },
        log: winston.createLogger({ silent: true }),
        metrics: createMetrics(),
        listenOptions: {},
        clock: () => performance.now(),
        ...options,
    });
}

async function waitUntil(condition: () => boolean): Promise<void> {
    while (!condition()) {
        await pause(POLL_INTERVAL_MS);
    }
}

Given("a daemon that is the owner", async function(this: TestWorld) {
    const node = await startTestNode(this, NODE);
    this.notes.set("node", node);
    await waitUntil(() => hasRecords(this).every(Boolean) && node.callContext.localOwner() !== undefined);
});

Given(
    /^a daemon that exchanges heartbeats with a peer (by datagrams|by RPC)$/,
    async function(this: TestWorld, way: string) {
        const [, port] = (await findFreeAddress()).split(":");
        const heartbeatPort = way === "by RPC" ? 0 : Number(port);
        const node = await startTestNode(this, NODE, { peerAddress: `127.0.0.1:${port}`, heartbeatPort });
        const peer = await startTestNode(this, "there", {
            peerAddress: `127.0.0.2:${port}`,
            heartbeatPort,
            seeds: [`127.0.0.1:${port}`],
        });
        this.cleanups.push(() => peer.close());
        this.notes.set("node", node);
        this.notes.set("peer", peer.callContext.cluster);
        await waitUntil(() => listRelayPeers(peer.callContext.cluster).length > 0);
    },
);

When("the store stops answering", function(this: TestWorld) {
    this.note<SlowStore>("slowStore").isSilent = true;
});

When(
    "the daemon leaves and is closed at once",
    { timeout: STOP_TIMEOUT_MS },
    async function(this: TestWorld) {
        const node = this.note<Node>("node");
        node.leave();
        await node.close();
    },
);

Then("the store holds neither the owner's record nor the member's", function(this: TestWorld) {
    assert.deepEqual(hasRecords(this), [false, false]);
});

Then("the store still holds the member's record", function(this: TestWorld) {
    assert.equal(hasRecords(this)[1], true);
});

Then(
    "the peer neither relays store calls through the daemon nor calls it of its own accord",
    function(this: TestWorld) {
        const peer = this.note<Cluster>("peer");
        assert.equal(peer.peers.size, 1);
        assert.deepEqual([listRelayPeers(peer), listActivePeers(peer)], [[], []]);
    },
);
