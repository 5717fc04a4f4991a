import { Given, Then, When } from "@cucumber/cucumber";
import { err, ok } from "neverthrow";
import assert from "node:assert/strict";
import winston from "winston";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import { createMetrics } from "../Metrics.js";
import type { FleetStore } from "../ports/FleetStore.js";
import type { Cluster, Peer } from "./Cluster.js";
import { couldMissNewOwner } from "./couldMissNewOwner.js";
import { createCluster } from "./createCluster.js";
import { createRelayingStore } from "./createRelayingStore.js";
import type { TermLease } from "./createTermLease.js";
import { createTermLease } from "./createTermLease.js";
import { executeRelayedCall } from "./executeRelayedCall.js";

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
function addRelayingPeer(cluster: Cluster, name: string, store: FleetStore, fields: Partial<Peer>): void {
    const relayStoreCall = (request: Parameters<typeof executeRelayedCall>[1]) =>
        executeRelayedCall(store, request, new AbortController().signal);
    cluster.peers.set(name, createTestPeer(name, { relayStoreCall }, fields));
}

Given("a daemon with a store", function(this: TestWorld) {
    const clock = new FakeClock();
    this.notes.set("clock", clock);
    const startedAt = clock.now;
    this.notes.set("cluster", createTestCluster(() => clock.now - startedAt));
    this.notes.set("store", new FakeFleetStore(() => clock.now));
    this.notes.set("direct", new FakeFleetStore(() => 0));
});

Given("the store compacts its history", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").put("other", new Uint8Array());
    this.note<FakeFleetStore>("store").compact();
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
    addRelayingPeer(this.note("cluster"), "peer", this.note<FakeFleetStore>("store").createClient(), {});
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
        const fields = { reachesStore: number < reaching, lastContactAt };
        addRelayingPeer(this.note("cluster"), `p${number}`, store, fields);
    }
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
