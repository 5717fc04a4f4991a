import { HeartbeatSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { Cluster, Peer } from "./Cluster.js";
import { composeHeartbeat, receiveHeartbeat } from "./Cluster.js";
import { computeHeartbeatIntervalMs } from "./computeHeartbeatIntervalMs.js";
import { listActivePeers } from "./listActivePeers.js";

/** Creates a daemon's view of the cluster that keeps peers without calling them. */
function createClusterWithoutCalls(node: string, address: string): Cluster {
    const cluster = createTestCluster(node, address, () => 0);
    cluster.addPeer = (peerAddress, peerNode) => {
        const peer = cluster.peers.get(peerAddress)
            ?? {
                address: peerAddress,
                node: peerNode,
                rank: cluster.peers.size,
                failedExchanges: 0,
                refusedConnections: 0,
                lastContactAt: Number.NEGATIVE_INFINITY,
            } as Peer;
        cluster.peers.set(peerAddress, peer);
        return peer;
    };
    return cluster;
}

Then("the heartbeat intervals match their snapshot", function(this: TestWorld) {
    const lines = [5, 16, 40, 96, 349].map(peerCount => ({
        peerCount,
        toOwner: computeHeartbeatIntervalMs({ isOwner: true, hasRefused: false, peerCount }),
        toRefusingOwner: computeHeartbeatIntervalMs({ isOwner: true, hasRefused: true, peerCount }),
        toOthers: computeHeartbeatIntervalMs({ isOwner: false, hasRefused: false, peerCount }),
    }));
    this.expectSnapshot(lines);
});

Given("a daemon that has heard from {int} peers", function(this: TestWorld, count: number) {
    const cluster = createClusterWithoutCalls("entry-joao-pessoa-d-100", "10.100.100.100:8526");
    for (let number = 1; number <= count; number++) {
        const peer = cluster.addPeer(
            `10.100.${Math.floor(number / 100)}.${100 + number % 100}:8526`,
            `entry-joao-pessoa-d-${number}`,
        );
        peer!.lastContactAt = 0;
    }
    this.notes.set("cluster", cluster);
});

When("another daemon receives {int} of its heartbeats", function(this: TestWorld, count: number) {
    const other = createClusterWithoutCalls("other", "10.0.0.1:1");
    for (let received = 0; received < count; received++) {
        receiveHeartbeat(other, create(HeartbeatSchema, composeHeartbeat(this.note("cluster"))));
    }
    this.notes.set("other", other);
});

Then("its heartbeat lists {int} peers", function(this: TestWorld, count: number) {
    assert.equal(composeHeartbeat(this.note("cluster")).peers?.length, count);
});

Then("its heartbeat takes less than {int} bytes", function(this: TestWorld, limit: number) {
    const heartbeat = create(HeartbeatSchema, composeHeartbeat(this.note("cluster")));
    const { length } = toBinary(HeartbeatSchema, heartbeat);
    assert.ok(length < limit, `It takes ${length} bytes.`);
});

Then("the other daemon knows {int} peers", function(this: TestWorld, count: number) {
    assert.equal(this.note<Cluster>("other").peers.size, count);
});

When("{int} of these peers fail twice", function(this: TestWorld, count: number) {
    for (const peer of listActivePeers(this.note<Cluster>("cluster")).slice(0, count)) {
        peer.failedExchanges = 2;
    }
});

When("another peer becomes the owner", function(this: TestWorld) {
    const cluster = this.note<Cluster>("cluster");
    const { node, address } = [...cluster.peers.values()].at(-1)!;
    cluster.owner = { node, address, revision: 1 };
});

Then("it exchanges heartbeats with {int} peers", function(this: TestWorld, count: number) {
    assert.equal(listActivePeers(this.note<Cluster>("cluster")).length, count);
});

Then(
    "it exchanges heartbeats with {int} peers, the owner among them",
    function(this: TestWorld, count: number) {
        const cluster = this.note<Cluster>("cluster");
        const addresses = listActivePeers(cluster).map(peer => peer.address);
        assert.equal(addresses.length, count);
        assert.ok(addresses.includes(cluster.owner!.address));
    },
);
