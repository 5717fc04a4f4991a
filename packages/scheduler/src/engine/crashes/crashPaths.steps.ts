import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CrashRecorder } from "../../../../../features/support/crashes/CrashRecorder.js";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { OWNER_LEASE_TTL_MS } from "../../constants.js";

const MS_PER_SECOND = 1_000;

/** Longest wait for a crash, in milliseconds. */
const MAX_CRASH_WAIT_MS = 30_000;

/** Limit of the real time that a step takes, in milliseconds. */
const LONG_STEP_TIMEOUT_MS = 300_000;

Given(
    "a gang ends as broken on its other workers when a worker crashes under a member",
    function(this: TestWorld) {
        const recorder = new CrashRecorder(getHarness(this));
        recorder.gangJobs.add("1".padStart(16, "0"));
        this.notes.set("recorder", recorder);
    },
);

Given("crashed workers come back under new ids", function(this: TestWorld) {
    this.notes.set("recorder", new CrashRecorder(getHarness(this), () => true));
});

Given("the starts and crashes of all tasks are recorded", function(this: TestWorld) {
    this.notes.set("recorder", new CrashRecorder(getHarness(this)));
});

When(
    "the owners die with the next {int} crashes under task {word} of {word}",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, count: number, task: string, job: string) {
        const harness = getHarness(this);
        const recorder = this.note<CrashRecorder>("recorder");
        const name = `${getJobId(this, job)}.${task}`;
        for (let death = 0; death < count && harness.stateOf(getJobId(this, job)) !== "failed"; death++) {
            const crashCount = recorder.countCrashes(name);
            const giveUpAt = harness.clock.now + MAX_CRASH_WAIT_MS;
            while (recorder.countCrashes(name) === crashCount && harness.clock.now < giveUpAt) {
                await recorder.advance(50, 50);
            }
            harness.killOwner();
            await recorder.advance(OWNER_LEASE_TTL_MS);
            await harness.beginTerm();
        }
    },
);

When(
    "{int} recorded seconds pass",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, seconds: number) {
        for (let passed = 0; passed < seconds; passed++) {
            getHarness(this).workers.forEach(({ running }) => running.forEach(run => run.percent += 1));
            await this.note<CrashRecorder>("recorder").advance(MS_PER_SECOND);
        }
    },
);

Then(
    "no task of {word} has more than {int} recorded starts after its third crash",
    function(this: TestWorld, job: string, limit: number) {
        const recorder = this.note<CrashRecorder>("recorder");
        const counts = recorder.startedTasks.filter(task => task.startsWith(getJobId(this, job)))
            .map(task => recorder.countStartsAfterCrashes(task, 3));
        assert.ok(Math.max(0, ...counts) <= limit, `It was started ${Math.max(...counts)} times after that.`);
    },
);

Then(
    "no task of {word} has more than {int} recorded starts",
    function(this: TestWorld, job: string, limit: number) {
        const recorder = this.note<CrashRecorder>("recorder");
        const counts = recorder.startedTasks.filter(task => task.startsWith(getJobId(this, job)))
            .map(task => recorder.countStarts(task));
        assert.ok(Math.max(0, ...counts) <= limit, `A task was started ${Math.max(...counts)} times.`);
    },
);

Then("no crash has been counted", async function(this: TestWorld) {
    const { values } = await getHarness(this).terms.at(-1)!.scheduler.metrics.workerCrashes.get();
    assert.deepEqual(values, []);
});
