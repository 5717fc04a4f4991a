import { HeartbeatSchema, QueueDepthSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { Cluster } from "../cluster/Cluster.js";
import { composeHeartbeat, receiveHeartbeat } from "../cluster/Cluster.js";
import { createCluster } from "../cluster/createCluster.js";
import type { QueueName } from "../ids.js";
import { createCallContext, getClock } from "./callerFixture.steps.js";
import { countPendingJobs } from "./countPendingJobs.js";
import type { Reply } from "./Reply.js";

const MS_PER_SECOND = 1_000;
const QUEUE = "short" as QueueName;

/** Delivers a heartbeat of a new owner, whose count is `undefined` until it has loaded its state. */
function receiveHeartbeatOfNewOwner(world: TestWorld, pending: number | undefined): void {
    const cluster = world.note<Cluster>("cluster");
    const revision = (cluster.owner?.revision ?? 0) + 1;
    const owner = createCluster({
        ...cluster,
        node: `owner-${revision}`,
        address: `10.0.0.2:${revision}`,
        decodeConfiguration: () => {
            throw new Error("No configuration is expected.");
        },
    });
    owner.owner = { node: owner.node, address: owner.address, revision };
    owner.countQueueDepths = () =>
        pending === undefined ? undefined : [create(QueueDepthSchema, { queue: QUEUE, jobs: pending })];
    receiveHeartbeat(cluster, create(HeartbeatSchema, composeHeartbeat(owner)));
}

Given(/^(?:the|a new) owner has reported (\d+) pending jobs$/, function(this: TestWorld, pending: number) {
    receiveHeartbeatOfNewOwner(this, Number(pending));
});

Given("a new owner that has not loaded its state has sent a heartbeat", function(this: TestWorld) {
    receiveHeartbeatOfNewOwner(this, undefined);
});

Given("the owner now has {int} pending jobs", function(this: TestWorld, pending: number) {
    const cluster = this.note<Cluster>("cluster");
    const { node, address, revision } = cluster.owner!;
    const heartbeat = create(HeartbeatSchema, {
        sender: { node, address },
        owner: { node, address },
        ownerRevision: revision,
        depths: [{ queue: QUEUE, jobs: pending }],
    });
    const calls = { exchange: async () => ({ heartbeat }) };
    cluster.peers.set(address, createTestPeer(address, calls, { node }));
});

When("{float} second(s) pass without a heartbeat", async function(this: TestWorld, seconds: number) {
    await getClock(this).advance(seconds * MS_PER_SECOND);
});

When("ana counts the pending jobs", async function(this: TestWorld) {
    this.notes.set("reply", await countPendingJobs(createCallContext(this), QUEUE));
});

Then("the reply counts {int} pending jobs", function(this: TestWorld, pending: number) {
    assert.deepEqual(this.note<Reply>("reply"), { kind: "depth", pending });
});
