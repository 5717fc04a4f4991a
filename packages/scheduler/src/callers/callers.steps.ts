import { HeartbeatSchema, JobSchema, QueueDepthSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestConfiguration } from "../../../../features/support/createTestConfiguration.js";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import type { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore, WriteFault } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "../cluster/Cluster.js";
import { composeHeartbeat, receiveHeartbeat, updateOwner } from "../cluster/Cluster.js";
import { createCluster } from "../cluster/createCluster.js";
import type { FleetConfiguration, Queue } from "../FleetConfiguration.js";
import type { JobId, QueueName } from "../ids.js";
import { decodeQueueTerms } from "../state/decodeQueueTerms.js";
import { storeKeys } from "../storeKeys.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import { countPendingJobs } from "./countPendingJobs.js";
import { describeJob } from "./describeJob.js";
import type { Reply } from "./Reply.js";
import { requestCancellation } from "./requestCancellation.js";
import { resolveCall } from "./resolveCall.js";
import { submitJob } from "./submitJob.js";

const JOB_ID = "00000000000000ab" as JobId;
const CONFIGURED_QUEUE = createTestConfiguration().queues[0]!;
const CALLER_TIMEOUT_MS = 3_000;
const CLOCK_STEP_MS = 50;
const REFUSED_WRITE_COUNT = 100;
const MS_PER_SECOND = 1_000;
const QUEUE = "short" as QueueName;

function createCallContext(world: TestWorld): CallContext {
    return {
        cluster: world.note<Cluster>("cluster"),
        store: world.note<FakeFleetStore>("store").createClient(),
        localOwner: () => undefined,
        pause: getClock(world).pause,
    };
}

function getClock(world: TestWorld): FakeClock {
    return world.note<FakeClock>("clock");
}

function getBounds(world: TestWorld): CallBounds {
    const signal = world.notes.get("callSignal") as AbortSignal | undefined;
    return {
        deadline: world.note<Cluster>("cluster").clock() + CALLER_TIMEOUT_MS,
        signal: signal ?? new AbortController().signal,
    };
}

function beginOtherTerm(world: TestWorld): void {
    world.note<FakeFleetStore>("store").put(storeKeys.term, new Uint8Array());
}

/** Advances the logical clock until the reply arrives, and records the reply and the time it took. */
async function awaitReply(world: TestWorld, reply: Promise<Reply>): Promise<void> {
    const clock = getClock(world);
    let isAnswered = false;
    void reply.finally(() => isAnswered = true);
    const startedAt = clock.now;
    while (!isAnswered) {
        await clock.advance(CLOCK_STEP_MS);
    }
    world.notes.set("reply", await reply);
    world.notes.set("tookMs", clock.now - startedAt);
}

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

function summarizeReply(reply: Reply): string {
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

function createConfiguration(): FleetConfiguration {
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

/** Returns the name of the queue or the reason of the refusal; the key `none` stands for a call without a key. */
function resolveWithAge(
    { host, path, key }: { host: string; path: string; key: string },
    configurationAgeMs: number,
): string {
    const call = { host, path, key: key === "none" ? undefined : key };
    const resolved = resolveCall(createConfiguration(), call, { configurationAgeMs });
    return resolved.isOk() ? resolved.value.queue.name : resolved.error.reason;
}

Given("the next store writes have the faults {string}", function(this: TestWorld, faults: string) {
    this.note<FakeFleetStore>("store").writeFaults.push(...faults.split(" ") as WriteFault[]);
});

Given("calls must be answered at once after {int} ms", function(this: TestWorld, ms: number) {
    const ending = new AbortController();
    this.notes.set("callSignal", ending.signal);
    if (ms === 0) {
        ending.abort();
        return;
    }
    void getClock(this).pause(ms - 1).then(() => ending.abort());
});

Given("a term of another owner has begun", function(this: TestWorld) {
    beginOtherTerm(this);
});

Given("a term of another owner begins within {int} ms", function(this: TestWorld, ms: number) {
    void getClock(this).pause(ms - 1).then(() => beginOtherTerm(this));
});

Given("the daemon knows the owner", function(this: TestWorld) {
    const { revision } = this.note<FakeFleetStore>("store").get(storeKeys.term)!;
    updateOwner(this.note<Cluster>("cluster"), { node: "other", address: "10.0.0.2:1", revision });
});

/** Replaces the configuration in force; the queues in which calls were found stay as they are. */
function putIntoForce(world: TestWorld, version: number, queues: readonly Queue[]): void {
    const cluster = world.note<Cluster>("cluster");
    const configuration = { ...createTestConfiguration(), version, queues };
    world.notes.set("cluster", {
        ...cluster,
        configuration: { ...cluster.configuration, current: () => configuration },
    });
}

Given(
    "configuration {int} is in force, in which the queue allows {int} attempts",
    function(this: TestWorld, version: number, attempts: number) {
        putIntoForce(this, version, [{ ...CONFIGURED_QUEUE, attempts }]);
    },
);

Given(
    "configuration {int} is in force, in which there is no queue",
    function(this: TestWorld, version: number) {
        putIntoForce(this, version, []);
    },
);

Given("the store is unavailable", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").isDown = true;
    this.note<Cluster>("cluster").reachesStore = false;
});

When(
    "{word} submits a job with the digest {word}",
    async function(this: TestWorld, customer: string, digest: string) {
        const job = create(JobSchema, {
            id: JOB_ID,
            queue: "short",
            customer,
            digest,
            spec: "s",
            steps: [{ taskCount: 1 }],
        });
        await awaitReply(this, submitJob(createCallContext(this), job, CONFIGURED_QUEUE, getBounds(this)));
    },
);

When("{word} requests the job's state", async function(this: TestWorld, customer: string) {
    await awaitReply(this, describeJob(createCallContext(this), JOB_ID, customer));
});

When("{word} cancels the job", async function(this: TestWorld, customer: string) {
    await awaitReply(this, requestCancellation(createCallContext(this), JOB_ID, customer, getBounds(this)));
});

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

When("the store applies its delayed writes", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").applyDelayedTransactions();
});

Then("the reply is {word}", function(this: TestWorld, name: string) {
    assert.equal(summarizeReply(this.note<Reply>("reply")), name);
});

Then("the reply counts {int} pending jobs", function(this: TestWorld, pending: number) {
    assert.deepEqual(this.note<Reply>("reply"), { kind: "depth", pending });
});

Then("the reply gives a retry time", function(this: TestWorld) {
    const reply = this.note<Reply>("reply");
    assert.equal(reply.kind === "refused" && reply.retryAfterS !== undefined, true);
});

Then("the job is stored: {word}", function(this: TestWorld, answer: string) {
    assert.equal(
        this.note<FakeFleetStore>("store").get(storeKeys.job(JOB_ID)) !== undefined,
        answer === "yes",
    );
});

Then("the terms that are stored with the job match the snapshot", function(this: TestWorld) {
    const item = this.note<FakeFleetStore>("store").get(storeKeys.job(JOB_ID))!;
    this.expectSnapshot(decodeQueueTerms(fromBinary(JobSchema, item.value).terms));
});

function checkStoredTerms(world: TestWorld, attempts: number, version: number | undefined): void {
    const item = world.note<FakeFleetStore>("store").get(storeKeys.job(JOB_ID))!;
    const { terms, termsVersion } = fromBinary(JobSchema, item.value);
    assert.deepEqual({ attempts: terms!.attempts, version: termsVersion }, { attempts, version });
}

Then(
    "the job is stored with {int} attempts of configuration {int}",
    function(this: TestWorld, attempts: number, version: number) {
        checkStoredTerms(this, attempts, version);
    },
);

Then(
    "the job is stored with {int} attempts of an unknown configuration",
    function(this: TestWorld, attempts: number) {
        checkStoredTerms(this, attempts, undefined);
    },
);

Then("the job is stored for the latest term", function(this: TestWorld) {
    const store = this.note<FakeFleetStore>("store");
    const job = fromBinary(JobSchema, store.get(storeKeys.job(JOB_ID))!.value);
    assert.equal(job.termRevision, store.get(storeKeys.term)!.revision);
});

Then(
    "a call to host {word} and path {word} with key {word} resolves to {word}",
    function(this: TestWorld, host: string, path: string, key: string, answer: string) {
        assert.equal(resolveWithAge({ host, path, key }, 0), answer);
    },
);

Then(
    "a call to host {word} and path {word} with key {word} by an old configuration resolves to {word}",
    function(this: TestWorld, host: string, path: string, key: string, answer: string) {
        assert.equal(resolveWithAge({ host, path, key }, Number.POSITIVE_INFINITY), answer);
    },
);

Then(
    "a call for a queue that is not configured is refused with {word}",
    function(this: TestWorld, answer: string) {
        const { configuration } = this.note<Cluster>("cluster");
        const resolved = resolveCall(configuration.current(), { host: "a", path: "/x/", key: "k1" }, {
            configurationAgeMs: configuration.getAgeMs(),
        });
        assert.equal(resolved._unsafeUnwrapErr().reason, answer);
    },
);

Then(
    "a call before a configuration is loaded is refused with {word}",
    function(this: TestWorld, answer: string) {
        const resolved = resolveCall(undefined, { host: "a", path: "/x/", key: "k1" }, {
            configurationAgeMs: Number.POSITIVE_INFINITY,
        });
        assert.equal(resolved._unsafeUnwrapErr().reason, answer);
    },
);

Given("the store is unreachable after the first write", function(this: TestWorld) {
    const faults = Array.from({ length: REFUSED_WRITE_COUNT }, (): WriteFault => "refused");
    this.note<FakeFleetStore>("store").writeFaults.push(...faults);
});

Then("the reply arrived within {int} ms", function(this: TestWorld, limitMs: number) {
    const tookMs = this.note<number>("tookMs");
    assert.ok(tookMs <= limitMs, `The reply took ${tookMs} ms.`);
});

Then("{int} store write(s) has/have been sent", function(this: TestWorld, count: number) {
    assert.equal(this.note<FakeFleetStore>("store").callCounts.get("commit") ?? 0, count);
});
