import { JobSchema } from "@balsamward/schema/scheduling";
import { toBinary } from "@bufbuild/protobuf";
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createAcceptedJob } from "../../../../../features/support/scheduler/createAcceptedJob.js";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { storeKeys } from "../../storeKeys.js";

const STEP = { taskCount: 1, estimatedMs: 1_000 };
const SETTLE_MS = 500;

When(
    "{word} submits and completes {int} jobs",
    async function(this: TestWorld, customer: string, count: number) {
        const harness = getHarness(this);
        const ids = Array.from({ length: count }, () => harness.submit("normal", customer, [STEP]));
        await harness.advance(SETTLE_MS);
        ids.map(id => `${id}.0.0.0`).forEach(task => harness.workerOf(task)!.endRun(task, "done"));
        await harness.advance(SETTLE_MS);
    },
);

When("another job is submitted under the id of {word}", async function(this: TestWorld, name: string) {
    const harness = getHarness(this);
    const id = getJobId(this, name);
    const job = createAcceptedJob({
        id,
        queue: "normal",
        customer: "ana",
        steps: [STEP],
        acceptedAtMs: harness.clock.now,
        termRevision: harness.terms.at(-1)!.scheduler.ownership.revision,
        configuration: harness.configuration,
    });
    harness.store.put(storeKeys.job(id), toBinary(JobSchema, job));
    await harness.advance(SETTLE_MS);
});

Then(/^(\d+) jobs? (?:is|are) stored$/, async function(this: TestWorld, count: string) {
    const listed = await getHarness(this).store.createClient().list(storeKeys.jobPrefix);
    assert.equal(listed._unsafeUnwrap().items.length, Number(count));
});
