import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { CrashRecorder } from "../../../../../features/support/crashes/CrashRecorder.js";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";

const MS_PER_SECOND = 1_000;

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

When(
    "{int} recorded seconds pass",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, seconds: number) {
        await this.note<CrashRecorder>("recorder").advance(seconds * MS_PER_SECOND);
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
