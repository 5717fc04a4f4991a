import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Socket } from "node:dgram";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { Cluster } from "./Cluster.js";
import { openHeartbeatSocket } from "./openHeartbeatSocket.js";

const MS_PER_SECOND = 1_000;

/** Turns of the event loop until an attempt to bind a port has ended. */
const ATTEMPT_TURNS = 20;

/** A daemon that waits for its port for heartbeats. */
type PortFixture = {
    readonly cluster: Cluster;
    readonly clock: FakeClock;
    readonly holder: Socket;
    readonly close: () => void;
};

Given("a daemon whose port for heartbeats is in use", async function(this: TestWorld) {
    const holder = createSocket("udp4");
    holder.bind(0, "127.0.0.1");
    await once(holder, "listening");
    const cluster = createTestCluster("a", "127.0.0.1:1");
    const clock = new FakeClock();
    const socket = await openHeartbeatSocket(cluster, holder.address().port, { pause: clock.pause });
    this.notes.set("port", { cluster, clock, holder, close: socket.close });
    this.cleanups.push(socket.close);
});

When("the port for heartbeats becomes free", async function(this: TestWorld) {
    const { holder } = this.note<PortFixture>("port");
    holder.close();
    await once(holder, "close");
});

When(
    "{int} second(s) pass(es) for the port for heartbeats",
    async function(this: TestWorld, seconds: number) {
        await this.note<PortFixture>("port").clock.advance(seconds * MS_PER_SECOND);
        await waitTurns(ATTEMPT_TURNS);
    },
);

When("the daemon closes its socket for heartbeats", function(this: TestWorld) {
    this.note<PortFixture>("port").close();
});

Then("the daemon exchanges heartbeats by RPC", function(this: TestWorld) {
    assert.equal(this.note<PortFixture>("port").cluster.exchangeDatagrams, undefined);
});

Then("the daemon exchanges heartbeats by datagrams", function(this: TestWorld) {
    assert.notEqual(this.note<PortFixture>("port").cluster.exchangeDatagrams, undefined);
});
