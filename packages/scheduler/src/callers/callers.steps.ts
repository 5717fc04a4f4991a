import { JobSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestConfiguration } from "../../../../features/support/createTestConfiguration.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore, WriteFault } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "../cluster/Cluster.js";
import { updateOwner } from "../cluster/Cluster.js";
import type { Queue } from "../FleetConfiguration.js";
import { decodeQueueTerms } from "../state/decodeQueueTerms.js";
import { storeKeys } from "../storeKeys.js";
import { awaitReply, createCallContext, getBounds, getClock, JOB_ID } from "./callerFixture.steps.js";
import { describeJob } from "./describeJob.js";
import type { Reply } from "./Reply.js";
import { submitJob } from "./submitJob.js";

const CONFIGURED_QUEUE = createTestConfiguration().queues[0]!;
const FAULTY_WRITE_COUNT = 100;

function beginOtherTerm(world: TestWorld): void {
    world.note<FakeFleetStore>("store").put(storeKeys.term, new Uint8Array());
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
    await awaitReply(this, describeJob(createCallContext(this), JOB_ID, customer, getBounds(this)));
});

Given("the store carries out writes late and without an answer", function(this: TestWorld) {
    const faults = Array.from({ length: FAULTY_WRITE_COUNT }, (): WriteFault => "late");
    this.note<FakeFleetStore>("store").writeFaults.push(...faults);
});

Given("the store answers one write late and refuses the others as malformed", function(this: TestWorld) {
    const faults = Array.from({ length: FAULTY_WRITE_COUNT }, (): WriteFault => "malformed");
    this.note<FakeFleetStore>("store").writeFaults.push("late", ...faults);
});

When("the store answers writes again", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").writeFaults.length = 0;
});

When("the store applies its delayed writes", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").applyDelayedTransactions();
});

Then("the reply is {word}", function(this: TestWorld, name: string) {
    assert.equal(summarizeReply(this.note<Reply>("reply")), name);
});

Then("the reply gives a retry time", function(this: TestWorld) {
    const reply = this.note<Reply>("reply");
    assert.equal(reply.kind === "refused" && reply.retryAfterS !== undefined, true);
});

Then("the reply gives no retry time", function(this: TestWorld) {
    const reply = this.note<Reply>("reply");
    assert.equal(reply.kind === "refused" && reply.retryAfterS === undefined, true);
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

Given("the store is unreachable after the first write", function(this: TestWorld) {
    const faults = Array.from({ length: FAULTY_WRITE_COUNT }, (): WriteFault => "refused");
    this.note<FakeFleetStore>("store").writeFaults.push(...faults);
});

Then("the reply arrived within {int} ms", function(this: TestWorld, limitMs: number) {
    const tookMs = this.note<number>("tookMs");
    assert.ok(tookMs <= limitMs, `The reply took ${tookMs} ms.`);
});

Then("{int} store write(s) has/have been sent", function(this: TestWorld, count: number) {
    assert.equal(this.note<FakeFleetStore>("store").callCounts.get("commit") ?? 0, count);
});
