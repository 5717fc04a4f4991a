import { JobSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore, WriteFault } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "../cluster/Cluster.js";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import type { JobId, QueueName } from "../ids.js";
import { keys } from "../keys.js";
import { admitCall } from "./admitCall.js";
import { describeJob } from "./describeJob.js";
import type { Desk } from "./Desk.js";
import type { Reply } from "./Reply.js";
import { requestCancellation } from "./requestCancellation.js";
import { submitJob } from "./submitJob.js";

const ID = "00000000000000ab" as JobId;
const DEADLINE_MS = 3_000;
const TURN_MS = 50;
const MANY = 100;

function deskOf(world: TestWorld): Desk {
    return {
        cluster: world.note<Cluster>("cluster"),
        store: world.note<FakeFleetStore>("store").createClient(),
        ownerDesk: () => undefined,
        pause: clockOf(world).pause,
    };
}

function clockOf(world: TestWorld): FakeClock {
    return world.note<FakeClock>("clock");
}

function deadlineOf(world: TestWorld): number {
    return world.note<Cluster>("cluster").clock() + DEADLINE_MS;
}

/** Waits for an answer while the time that a caller waits passes. */
async function takeReply(world: TestWorld, reply: Promise<Reply>): Promise<void> {
    const clock = clockOf(world);
    let isAnswered = false;
    void reply.finally(() => isAnswered = true);
    const begunAt = clock.now;
    while (!isAnswered) {
        await clock.advance(TURN_MS);
    }
    world.notes.set("reply", await reply);
    world.notes.set("tookMs", clock.now - begunAt);
}

function nameOf(reply: Reply): string {
    switch (reply.kind) {
        case "refused":
            return reply.reason;
        case "state":
            return reply.state;
        case "accepted":
        case "cancelled":
        case "depth":
            return reply.kind;
    }
}

function configurationOf(): FleetConfiguration {
    const queue = {
        service: "service",
        priority: 0,
        attempts: 2,
        stretch: 2,
        objectiveMs: 100,
        advice: undefined,
    };
    return {
        version: 1,
        queues: [
            { ...queue, name: "short" as QueueName, host: "a", prefix: "/x/", open: false },
            { ...queue, name: "long" as QueueName, host: "a", prefix: "/x/y/", open: false },
            { ...queue, name: "open" as QueueName, host: "b", prefix: "/x/", open: true },
        ],
        customers: [{ name: "ana", keys: ["k1", "k2"], guaranteedAccelerators: 0 }],
        services: [],
        maxBodyBytes: 1_000,
    };
}

Given("the next writes of the store meet {string}", function(this: TestWorld, faults: string) {
    this.note<FakeFleetStore>("store").writeFaults.push(...faults.split(" ") as WriteFault[]);
});

Given("the store does not answer", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").isDown = true;
    this.note<Cluster>("cluster").reachesStore = false;
});

When(
    "{word} submits a job with the digest {word}",
    async function(this: TestWorld, customer: string, digest: string) {
        const job = create(JobSchema, {
            id: ID,
            queue: "short",
            customer,
            digest,
            spec: "s",
            steps: [{ taskCount: 1 }],
        });
        await takeReply(this, submitJob(deskOf(this), job, deadlineOf(this)));
    },
);

When("{word} asks for the job", async function(this: TestWorld, customer: string) {
    await takeReply(this, describeJob(deskOf(this), ID, customer));
});

When("{word} cancels the job", async function(this: TestWorld, customer: string) {
    await takeReply(this, requestCancellation(deskOf(this), ID, customer, deadlineOf(this)));
});

When("the kept back writes of the store are carried out", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").applyDelayedTransactions();
});

Then("the answer is {word}", function(this: TestWorld, name: string) {
    assert.equal(nameOf(this.note<Reply>("reply")), name);
});

Then("the answer says when to come back", function(this: TestWorld) {
    const reply = this.note<Reply>("reply");
    assert.equal(reply.kind === "refused" && reply.retryAfterS !== undefined, true);
});

Then("the job is stored: {word}", function(this: TestWorld, answer: string) {
    assert.equal(this.note<FakeFleetStore>("store").get(keys.job(ID)) !== undefined, answer === "yes");
});

Then(
    "a call of {word} at {word} with key {word} is {word}",
    function(this: TestWorld, host: string, path: string, key: string, answer: string) {
        const admitted = admitCall(configurationOf(), { host, path, key: key === "none" ? undefined : key });
        assert.equal(admitted.isOk() ? admitted.value.queue.name : admitted.error.reason, answer);
    },
);

Then("a call without a configuration is {word}", function(this: TestWorld, answer: string) {
    const admitted = admitCall(undefined, { host: "a", path: "/x/", key: "k1" });
    assert.equal(admitted._unsafeUnwrapErr().reason, answer);
});

Given("the store is unreachable after the first write", function(this: TestWorld) {
    const faults = Array.from({ length: MANY }, (): WriteFault => "refused");
    this.note<FakeFleetStore>("store").writeFaults.push(...faults);
});

Then("the answer came within {int} ms", function(this: TestWorld, limitMs: number) {
    const tookMs = this.note<number>("tookMs");
    assert.ok(tookMs <= limitMs, `It took ${tookMs} ms.`);
});
