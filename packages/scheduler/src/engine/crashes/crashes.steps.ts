import { formatTaskName } from "@balsamward/stand-ins";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { SchedulerTestHarness } from "../../../../../features/support/SchedulerTestHarness.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { WorkerId } from "../../index.js";

const MS_PER_SECOND = 1_000;

/** Limit of the real time that a step takes, in milliseconds. */
const LONG_STEP_TIMEOUT_MS = 300_000;

/** Time between two looks for runs that have lasted long enough, in milliseconds. */
const LOOK_INTERVAL_MS = 100;

/** Ends runs that have lasted for a time as done, except those of jobs with a task that crashes its worker. */
function endOldRuns({ workers, clock, deadlyTasks }: SchedulerTestHarness, ageMs: number): void {
    const deadlyJobs = new Set([...deadlyTasks.keys()].map(name => name.split(".")[0]));
    for (const worker of workers.values()) {
        for (const [name, run] of worker.running) {
            run.percent += 1;
            if (!deadlyJobs.has(run.task.job) && clock.now - run.startedAt >= ageMs) {
                worker.endRun(name, "done");
            }
        }
    }
}

Given(
    "task {word} of the job number {int} crashes its worker after {int} ms",
    function(this: TestWorld, task: string, number: number, delayMs: number) {
        getHarness(this).deadlyTasks.set(`${number.toString(16).padStart(16, "0")}.${task}`, delayMs);
    },
);

Given("workers are down for {int} seconds after a crash", function(this: TestWorld, seconds: number) {
    getHarness(this).workers.forEach(worker => worker.downtimeMs = seconds * MS_PER_SECOND);
});

When(/^the workers (w[\w ]*) crash$/, function(this: TestWorld, ids: string) {
    ids.split(" ").forEach(id => getHarness(this).workers.get(id as WorkerId)!.crash());
});

When(
    "{int} seconds pass in which runs end after {int} seconds",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, seconds: number, runSeconds: number) {
        const harness = getHarness(this);
        const endAt = harness.clock.now + seconds * MS_PER_SECOND;
        while (harness.clock.now < endAt) {
            endOldRuns(harness, runSeconds * MS_PER_SECOND);
            await harness.advance(LOOK_INTERVAL_MS);
        }
    },
);

/** Returns how often the task of a job was started that was started most often. */
function countMostStarts(world: TestWorld, job: string): number {
    const names = [...getHarness(world).workers.values()].flatMap(worker => worker.starts)
        .filter(({ task }) => task.job === getJobId(world, job))
        .map(({ task }) => formatTaskName(task));
    return Math.max(...names.map(name => names.filter(other => other === name).length));
}

Then(
    "no task of {word} was started more than {int} times",
    function(this: TestWorld, job: string, limit: number) {
        const most = countMostStarts(this, job);
        assert.ok(most <= limit, `A task was started ${most} times.`);
    },
);

Then("a task of {word} was started {int} times", function(this: TestWorld, job: string, count: number) {
    assert.equal(countMostStarts(this, job), count);
});
