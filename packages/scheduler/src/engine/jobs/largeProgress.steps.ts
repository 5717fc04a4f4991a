import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { listSteps } from "../../state/listSteps.js";
import { storeKeys } from "../../storeKeys.js";

When(
    "the tasks of {word} save checkpoints of {int} bytes",
    async function(this: TestWorld, job: string, bytes: number) {
        const runs = [...getHarness(this).workers.values()].flatMap(worker => [...worker.running.values()]);
        runs.filter(({ task }) => task.job === getJobId(this, job)).forEach(run => {
            run.checkpoint = "c".repeat(bytes);
        });
        await getHarness(this).advance(2_500);
    },
);

When("a new owner takes over that reaches no worker", async function(this: TestWorld) {
    await getHarness(this).beginTerm([...getHarness(this).workers.keys()]);
});

Then(
    "the progress of {word} is stored in {int} value(s)",
    async function(this: TestWorld, job: string, count: number) {
        const listed = await getHarness(this).store.createClient().list(storeKeys.progressPrefix);
        const keys = listed._unsafeUnwrap().items.map(({ key }) => key);
        assert.equal(
            keys.filter(key => key.startsWith(storeKeys.progress(getJobId(this, job)))).length,
            count,
        );
    },
);

Then(
    "the owner knows checkpoints of {int} bytes of {int} tasks of {word}",
    function(this: TestWorld, bytes: number, count: number, job: string) {
        const entry = getHarness(this).terms.at(-1)!.scheduler.jobs.get(getJobId(this, job))!;
        const tasks = listSteps(entry).flatMap(step => step.tasks);
        assert.equal(tasks.filter(({ checkpoint }) => checkpoint.length === bytes).length, count);
    },
);
