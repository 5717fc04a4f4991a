import { HeartbeatSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import { err, ok, ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import winston from "winston";
import { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import { createMetrics } from "../Metrics.js";
import { pause } from "../pause.js";
import type { FleetStore } from "../ports/FleetStore.js";
import { answerHeartbeat } from "./answerHeartbeat.js";
import type { Cluster, Peer } from "./Cluster.js";
import { couldMissNewOwner } from "./couldMissNewOwner.js";
import { createCluster } from "./createCluster.js";
import { createRelayingStore } from "./createRelayingStore.js";
import type { TermLease } from "./createTermLease.js";
import { createTermLease } from "./createTermLease.js";
import { executeRelayedCall } from "./executeRelayedCall.js";
import { watchConfiguration } from "./watchConfiguration.js";

const CONFIGURATION_KEY = "configuration";
const EVENT_LOOP_TURNS = 50;

/** Number and interval of the checks of a change that takes effect after a pause of real time. */
const MAX_CHECKS = 100;
const CHECK_INTERVAL_MS = 50;

const LOST = err({ kind: "unclear" as const, message: "The answer is lost. Read the value back." });

/** Version of a configuration that causes an unexpected error of the decoder. */
const UNEXPECTED_VERSION = 13;

function decodeTestConfiguration(text: Uint8Array) {
    const version = Number(Buffer.from(text).toString());
    if (version === UNEXPECTED_VERSION) {
        throw new RangeError("Maximum call stack size exceeded");
    }
    return Number.isNaN(version)
        ? err({ kind: "bad-configuration" as const, message: "It has no version. Write it again." })
        : ok({ version, queues: [], customers: [], services: [], maxBodyBytes: 0 } as FleetConfiguration);
}

function createTestCluster(clock: () => number): Cluster {
    return createCluster({
        node: "here",
        address: "10.0.0.1:1",
        decodeConfiguration: decodeTestConfiguration,
        log: winston.createLogger({ silent: true }),
        metrics: createMetrics(),
        clock,
    });
}

/** Adds a peer that executes relayed calls on the given store. */
function addTestPeer(
    cluster: Cluster,
    name: string,
    store: FleetStore,
    reachesStore: boolean,
    lastContactAt: number,
): void {
    const relayStoreCall = (request: Parameters<typeof executeRelayedCall>[1]) =>
        executeRelayedCall(store, request, new AbortController().signal);
    addPeerWithCalls(cluster, name, { relayStoreCall }, reachesStore, lastContactAt);
}

function addPeerWithCalls(
    cluster: Cluster,
    name: string,
    calls: object,
    reachesStore: boolean,
    lastContactAt: number,
): void {
    const peer = {
        address: name,
        node: name,
        client: { calls, reset: () => {} },
        lastContactAt,
        rank: 0,
        isActive: true,
        failedExchanges: 0,
        refusedConnections: 0,
        reachesStore,
        configurationVersion: 0,
        isFetchingConfiguration: false,
        wallClockOffsetMs: 0,
        leaving: false,
        requestExchange: () => {},
        abortController: new AbortController(),
    };
    cluster.peers.set(name, peer as unknown as Peer);
}

Given("a daemon with a store", function(this: TestWorld) {
    const clock = new FakeClock();
    this.notes.set("clock", clock);
    const startedAt = clock.now;
    this.notes.set("cluster", createTestCluster(() => clock.now - startedAt));
    this.notes.set("store", new FakeFleetStore(() => 0));
    this.notes.set("direct", new FakeFleetStore(() => 0));
});

Given("the store holds configuration {word}", function(this: TestWorld, version: string) {
    this.note<FakeFleetStore>("store").put(CONFIGURATION_KEY, Buffer.from(version));
});

Given("the store compacts its history", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").put("other", new Uint8Array());
    this.note<FakeFleetStore>("store").compact();
});

When("the daemon watches the configuration", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const store = this.note<FakeFleetStore>("store");
    void watchConfiguration(this.note("cluster"), store.createClient(), CONFIGURATION_KEY, end.signal);
    await waitTurns(EVENT_LOOP_TURNS);
});

When("a peer offers configuration {word}", function(this: TestWorld, version: string) {
    this.note<Cluster>("cluster").configuration.activateIfNewer(Buffer.from(version), "peer");
});

When("configuration {word} is written to the store", async function(this: TestWorld, version: string) {
    this.note<FakeFleetStore>("store").put(CONFIGURATION_KEY, Buffer.from(version));
    await waitTurns(EVENT_LOOP_TURNS);
});

Then("configuration {int} is in force", function(this: TestWorld, version: number) {
    assert.equal(this.note<Cluster>("cluster").configuration.current()?.version, version);
});

Then("the age of the configuration is {int} ms", function(this: TestWorld, ageMs: number) {
    assert.equal(this.note<Cluster>("cluster").configuration.getAgeMs(), ageMs);
});

Then("the store was listed {int} time(s)", function(this: TestWorld, times: number) {
    assert.equal(this.note<FakeFleetStore>("store").callCounts.get("list"), times);
});

Then("no watch has requested compacted history", function(this: TestWorld) {
    assert.equal(this.note<FakeFleetStore>("store").compactedWatchCount, 0);
});

Given("a lease of {int} ms is requested", function(this: TestWorld, ttlMs: number) {
    const cluster = this.note<Cluster>("cluster");
    this.notes.set("lease", createTermLease(cluster, ttlMs, cluster.clock()));
});

When("{int} ms pass", async function(this: TestWorld, ms: number) {
    await this.note<FakeClock>("clock").advance(ms);
});

When("a renewal of the lease is answered after {int} ms", async function(this: TestWorld, ms: number) {
    const sentAt = this.note<Cluster>("cluster").clock();
    await this.note<FakeClock>("clock").advance(ms);
    this.note<TermLease>("lease").confirm(sentAt);
});

Then("the lease was held {int} ms ago", function(this: TestWorld, ms: number) {
    const now = this.note<Cluster>("cluster").clock();
    assert.equal(now - this.note<TermLease>("lease").heldAt(), ms);
});

Given("the daemon cannot reach the store", function(this: TestWorld) {
    this.note<FakeFleetStore>("direct").isDown = true;
});

Given("a peer that reaches the store", function(this: TestWorld) {
    addTestPeer(this.note("cluster"), "peer", this.note<FakeFleetStore>("store").createClient(), true, 0);
});

Given("{int} peers, {int} of them responsive, {int} of these reaching the store", function(
    this: TestWorld,
    count: number,
    responsive: number,
    reaching: number,
) {
    const now = this.note<Cluster>("cluster").clock();
    for (let number = 0; number < count; number++) {
        const lastContactAt = number < responsive ? now : Number.NEGATIVE_INFINITY;
        const store = this.note<FakeFleetStore>("store").createClient();
        addTestPeer(this.note("cluster"), `p${number}`, store, number < reaching, lastContactAt);
    }
});

Given("a peer that reaches the store and answers no calls", function(this: TestWorld) {
    const calls = { relayStoreCall: () => new Promise(() => {}) };
    addPeerWithCalls(this.note("cluster"), "peer", calls, true, 0);
});

When("the daemon watches the configuration through the relaying store", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const client = this.note<FakeFleetStore>("store").createClient();
    const direct: FleetStore = {
        ...client,
        watch: () =>
            new ResultAsync(new Promise(resolve => this.notes.set("loseWatch", () => resolve(LOST)))),
    };
    const store = createRelayingStore(direct, this.note("cluster"));
    void watchConfiguration(this.note("cluster"), store, CONFIGURATION_KEY, end.signal);
    await waitTurns(EVENT_LOOP_TURNS);
});

When(
    "configuration {word} is written to the store, and the answer to the watch is lost",
    function(this: TestWorld, version: string) {
        this.note<FakeFleetStore>("store").put(CONFIGURATION_KEY, Buffer.from(version));
        this.note<() => void>("loseWatch")();
    },
);

Then("configuration {int} comes into force", async function(this: TestWorld, version: number) {
    const { configuration } = this.note<Cluster>("cluster");
    for (let checks = 0; checks < MAX_CHECKS && configuration.current()?.version !== version; checks++) {
        await pause(CHECK_INTERVAL_MS);
    }
    assert.equal(configuration.current()?.version, version);
});

Given("a peer that answers fetches of its configuration when it is told to", function(this: TestWorld) {
    const fetches: ((version: number) => void)[] = [];
    this.notes.set("fetches", fetches);
    const fetchConfiguration = () =>
        new Promise(resolve =>
            fetches.push(version => resolve({ text: Buffer.from(String(version)), version }))
        );
    const cluster = this.note<Cluster>("cluster");
    addPeerWithCalls(cluster, "peer", { fetchConfiguration }, true, 0);
    cluster.addPeer = address => cluster.peers.get(address);
});

When(
    /^(\d+) heartbeats? of the peer names? configuration (\d+)$/,
    function(this: TestWorld, count: string, version: string) {
        const heartbeat = create(HeartbeatSchema, {
            sender: { node: "peer", address: "peer" },
            configurationVersion: Number(version),
        });
        for (let sent = 0; sent < Number(count); sent++) {
            answerHeartbeat(this.note("cluster"), heartbeat);
        }
    },
);

When("the peer answers with configuration {int}", async function(this: TestWorld, version: number) {
    this.note<((version: number) => void)[]>("fetches").at(-1)!(version);
    await waitTurns(EVENT_LOOP_TURNS);
});

Then(/^the peer has received (\d+) fetch(?:es)?$/, function(this: TestWorld, count: string) {
    assert.equal(this.note<unknown[]>("fetches").length, Number(count));
});

When("the daemon writes a value", async function(this: TestWorld) {
    const cluster = this.note<Cluster>("cluster");
    const store = createRelayingStore(this.note<FakeFleetStore>("direct").createClient(), cluster);
    const put = { key: "value", value: new Uint8Array([1]) };
    const first = await store.commit({ expect: [{ key: "value", revision: 0 }], puts: [put], removals: [] });
    this.notes.set("written", first);
    // Lets the background probe end: it runs until the store answers.
    this.note<FakeFleetStore>("direct").isDown = false;
});

Then("the write is made through the peer", function(this: TestWorld) {
    assert.ok(this.note<{ isOk: () => boolean }>("written").isOk());
    assert.deepEqual(this.note<FakeFleetStore>("store").get("value")?.value, new Uint8Array([1]));
});

Then("the write fails with the error {word}", function(this: TestWorld, kind: string) {
    const written = this.note<{ isErr: () => boolean; error: { kind: string } }>("written");
    assert.ok(written.isErr());
    assert.equal(written.error.kind, kind);
    assert.equal(this.note<FakeFleetStore>("store").get("value"), undefined);
});

Given("the answer to the next direct write is lost", function(this: TestWorld) {
    this.note<FakeFleetStore>("direct").writeFaults.push("lost-answer");
});

Then("a newer owner could exist unnoticed: {word}", function(this: TestWorld, answer: string) {
    assert.equal(couldMissNewOwner(this.note("cluster")), answer === "yes");
});
