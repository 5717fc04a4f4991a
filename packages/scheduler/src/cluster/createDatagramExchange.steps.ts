import { HeartbeatSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { answerHeartbeat } from "./answerHeartbeat.js";
import type { Cluster, Peer } from "./Cluster.js";
import { updateOwner } from "./Cluster.js";
import type { DatagramExchange } from "./createDatagramExchange.js";
import { createDatagramExchange } from "./createDatagramExchange.js";
import type { HeartbeatSocket } from "./openHeartbeatSocket.js";
import { openHeartbeatSocket } from "./openHeartbeatSocket.js";
import { exchangeHeartbeats } from "./runPeers.js";

const FIRST = "127.0.0.2:1";
const SECOND = "127.0.0.3:1";
const CONFIGURATION = "configuration";
const RADIX = 36;

/** Two daemons, and what happens to the datagrams and calls from the first to the second. */
type Link = {
    readonly first: Cluster;
    readonly second: Cluster;
    isLossy: boolean;
    holdsAnswers: boolean;
    /** Address from which the answers of the second daemon come. */
    answerAddress: string;
    isRefused: boolean;
    readonly heldAnswers: (() => void)[];
    /** Outcomes of the first daemon's exchanges, in order. */
    readonly outcomes: string[];
};

/** Adds a peer whose calls are answered by its cluster. */
function addTestPeer(cluster: Cluster, other: Cluster, link: Link): void {
    const exchange = async () => {
        if (link.isRefused) {
            throw Object.assign(new Error("connect ECONNREFUSED"), { code: "ECONNREFUSED" });
        }
        const request = create(HeartbeatSchema, { sender: { node: cluster.node, address: cluster.address } });
        return { heartbeat: create(HeartbeatSchema, answerHeartbeat(other, request)) };
    };
    const fetchConfiguration = async () => ({ text: Buffer.from(CONFIGURATION), version: 2 });
    const peer = createTestPeer(other.address, { exchange, fetchConfiguration }, {
        node: other.node,
        lastContactAt: Number.NEGATIVE_INFINITY,
        reachesStore: false,
    });
    cluster.peers.set(other.address, peer);
    cluster.addPeer = address => cluster.peers.get(address);
}

function getPeer(link: Link): Peer {
    return link.first.peers.get(SECOND)!;
}

Given("two daemons that exchange heartbeats by datagrams", function(this: TestWorld) {
    const link: Link = {
        first: createTestCluster("first", FIRST),
        second: createTestCluster("second", SECOND),
        isLossy: false,
        holdsAnswers: false,
        answerAddress: SECOND,
        isRefused: false,
        heldAnswers: [],
        outcomes: [],
    };
    addTestPeer(link.first, link.second, link);
    addTestPeer(link.second, link.first, link);
    Object.assign(link.first.metrics.peerCalls, {
        inc: (labels: object) => void link.outcomes.push(Object.values(labels).join(" ")),
    });
    const first: DatagramExchange = createDatagramExchange(link.first, bytes => {
        if (!link.isLossy) {
            second.receive(bytes, FIRST);
        }
    });
    const second: DatagramExchange = createDatagramExchange(link.second, bytes => {
        const deliver = (): void => first.receive(bytes, link.answerAddress);
        if (link.holdsAnswers) {
            link.heldAnswers.push(deliver);
        }
        else {
            deliver();
        }
    });
    link.first.exchangeDatagrams = first.exchange;
    this.notes.set("link", link);
    this.notes.set("receive", first.receive);
});

Given("datagrams to the second are lost", function(this: TestWorld) {
    this.note<Link>("link").isLossy = true;
});

Given("answers of the second are held back", function(this: TestWorld) {
    this.note<Link>("link").holdsAnswers = true;
});

Given("answers of the second come from another address", function(this: TestWorld) {
    this.note<Link>("link").answerAddress = FIRST;
});

Given("calls to the second are refused", function(this: TestWorld) {
    this.note<Link>("link").isRefused = true;
});

Given("the second is the owner", function(this: TestWorld) {
    const { first } = this.note<Link>("link");
    first.onOwnerDead = owner => void this.notes.set("deadOwner", owner.node);
    updateOwner(first, { node: "second", address: SECOND, revision: 1 });
});

Given("the second is the owner, with jobs in {int} queues", function(this: TestWorld, count: number) {
    const { first, second } = this.note<Link>("link");
    const owner = { node: "second", address: SECOND, revision: 1 };
    updateOwner(first, owner);
    updateOwner(second, owner);
    const numbers = Array.from({ length: count }, (_, number) => number);
    const depths = numbers.map(number => ({ queue: `queue-${number.toString(RADIX)}`, jobs: 1 }));
    second.countQueueDepths = () => depths as unknown as ReturnType<Cluster["countQueueDepths"]>;
});

Given("the second has a newer configuration", function(this: TestWorld) {
    const { first, second } = this.note<Link>("link");
    Object.assign(second.configuration, { current: () => ({ version: 2 }) });
    Object.assign(first.configuration, {
        activateIfNewer: (text: Uint8Array) => void this.notes.set("fetched", Buffer.from(text).toString()),
    });
});

/** Opens the socket of the first daemon. */
async function openFirstSocket(world: TestWorld): Promise<{ port: number; socket: HeartbeatSocket }> {
    const port = Number((await findFreeAddress()).split(":")[1]);
    const socket = await openHeartbeatSocket(world.note<Link>("link").first, port);
    return { port, socket };
}

Given("the two daemons have sockets", async function(this: TestWorld) {
    const { port, socket } = await openFirstSocket(this);
    // The two have addresses of their own, so they use the same port.
    const other = await openHeartbeatSocket(this.note<Link>("link").second, port);
    this.cleanups.push(() => socket.close(), () => other.close());
});

Given("the socket of the first is closed", async function(this: TestWorld) {
    const { socket } = await openFirstSocket(this);
    socket.close();
});

Given("the port of the first is taken", async function(this: TestWorld) {
    const { first } = this.note<Link>("link");
    const { port, socket } = await openFirstSocket(this);
    this.cleanups.push(() => socket.close());
    first.exchangeDatagrams = undefined;
    const waiting = await openHeartbeatSocket(first, port);
    this.cleanups.push(() => waiting.close());
    assert.equal(first.exchangeDatagrams, undefined);
});

When("the first exchanges heartbeats with the second", async function(this: TestWorld) {
    const link = this.note<Link>("link");
    await exchangeHeartbeats(link.first, getPeer(link));
});

When("the second's answers arrive", function(this: TestWorld) {
    this.note<Link>("link").heldAnswers.forEach(deliver => deliver());
});

When("the first receives a malformed datagram", function(this: TestWorld) {
    this.note<DatagramExchange["receive"]>("receive")(Buffer.from("not a message"), SECOND);
});

Then("each has heard from the other", function(this: TestWorld) {
    const { first, second } = this.note<Link>("link");
    assert.ok(first.peers.get(SECOND)!.lastContactAt > 0);
    assert.ok(second.peers.get(FIRST)!.lastContactAt > 0);
});

Then("the first has not heard from the second", function(this: TestWorld) {
    assert.equal(getPeer(this.note("link")).lastContactAt, Number.NEGATIVE_INFINITY);
});

Then("the exchanges of the first are {string}", function(this: TestWorld, outcomes: string) {
    const link = this.note<Link>("link");
    assert.equal(link.outcomes.splice(0).join(", "), outcomes);
});

Then("the first has fetched the configuration", function(this: TestWorld) {
    assert.equal(this.note("fetched"), CONFIGURATION);
});

Then("the first takes the owner to be dead", function(this: TestWorld) {
    assert.equal(this.note("deadOwner"), "second");
});

Then("the first knows the depths of {int} queues", function(this: TestWorld, count: number) {
    assert.equal(this.note<Link>("link").first.queueDepths?.depths.length, count);
});
