import { When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { OWNER_LEASE_TTL_MS, STORE_RETRY_MS } from "../../constants.js";
import type { RunEndKind } from "../../ports/WorkerPort.js";
import { storeKeys } from "../../storeKeys.js";

/** Time for which a job starts again after a takeover, in milliseconds. */
const RESTART_MS = 3_000;

/** Time in which an end is listed and stored, and an answer that is lost is not resolved, in milliseconds. */
const STORAGE_MS = 150;

When(
    "the runs of {word} end as {word} {int} times, with a death of the owner after each",
    async function(this: TestWorld, job: string, endKind: string, times: number) {
        const harness = getHarness(this);
        for (let count = 0; count < times; count++) {
            const runs = [...harness.workers.values()].flatMap(worker =>
                [...worker.running.keys()].filter(name => name.startsWith(getJobId(this, job)))
                    .map(name => ({ worker, name }))
            );
            assert.notEqual(runs.length, 0, `Nothing runs before end ${count + 1}.`);
            runs.forEach(({ worker, name }) => worker.endRun(name, endKind as RunEndKind));
            await harness.advance(STORAGE_MS);
            harness.killOwner();
            await harness.advance(OWNER_LEASE_TTL_MS);
            await harness.beginTerm();
            await harness.advance(RESTART_MS);
        }
    },
);

When(
    "both runs of task {word} of {word} end as failed, and the owner dies once both are stored",
    async function(this: TestWorld, task: string, job: string) {
        const harness = getHarness(this);
        const name = `${getJobId(this, job)}.${task}`;
        const workers = [...harness.workers.values()].filter(({ running }) => running.has(name));
        assert.equal(workers.length, 2);
        harness.store.writeFaults.push("refused", "lost-answer");
        workers.forEach(worker => worker.endRun(name, "failed"));
        await harness.advance(STORE_RETRY_MS + STORAGE_MS);
        assert.notEqual(harness.store.get(storeKeys.progress(getJobId(this, job))), undefined);
        harness.killOwner();
    },
);

When("a new owner takes over that does not have the configuration yet", async function(this: TestWorld) {
    const harness = getHarness(this);
    this.notes.set("next configuration", harness.configuration);
    Object.assign(harness, { configuration: undefined });
    await harness.beginTerm();
    await harness.advance(500);
});
