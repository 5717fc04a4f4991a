import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { parseText } from "../../../../../features/support/parseText.js";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { ExecutedStart } from "../../../../stand-ins/src/fleet/ExecutedStart.js";

function getLastStart(world: TestWorld, job: string): ExecutedStart {
    const id = getJobId(world, job);
    return [...getHarness(world).workers.values()]
        .flatMap(worker => worker.starts)
        .filter(({ task }) => task.job === id)
        .reduce((last, start) => start.run > last.run ? start : last);
}

When(
    "{word} submits the job {word} with the spec {string}",
    async function(this: TestWorld, customer: string, name: string, spec: string) {
        const harness = getHarness(this);
        const id = harness.submit("normal", customer, [{ taskCount: 1, estimatedMs: 1_000 }], {
            spec: parseText(spec),
        });
        this.notes.set(`job ${name}`, id);
        await harness.advance(100);
    },
);

When(
    "task {word} of {word} ends as failed with the checkpoint {string}",
    async function(this: TestWorld, task: string, job: string, checkpoint: string) {
        const name = `${getJobId(this, job)}.${task}`;
        getHarness(this).workerOf(name)!.endRun(name, "failed", parseText(checkpoint));
        await getHarness(this).advance(200);
    },
);

Then("the last start of {word} has the spec {string}", function(this: TestWorld, job: string, spec: string) {
    assert.equal(getLastStart(this, job).spec, parseText(spec));
});

Then(
    "the last start of {word} has the checkpoint {string}",
    function(this: TestWorld, job: string, checkpoint: string) {
        assert.equal(getLastStart(this, job).checkpoint, parseText(checkpoint));
    },
);
