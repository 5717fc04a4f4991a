import { JobSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { WorkerId } from "../../ids.js";
import { createJobEntry } from "../../state/createJobEntry.js";
import type { Run, StepEntry } from "../../state/JobEntry.js";
import { createWorkerEntry } from "../../state/WorkerEntry.js";
import { confirmRun } from "../runs/confirmRun.js";
import { createRun } from "../runs/runs.js";
import type { Scheduler } from "../Scheduler.js";
import { createEndAwaiter } from "./createEndAwaiter.js";
import type { RankedJob } from "./orderJobs.js";

function createStep(taskCount: number, gang: boolean): StepEntry {
    const job = create(JobSchema, { steps: [{ taskCount, gang, estimatedMs: 1 }] });
    return createJobEntry(job, 1, 0).occurrences.get(0)![0]!;
}

Given(
    "a gang of 2 members on workers that take {float} and {float} times the usual time, which is {int} ms",
    function(this: TestWorld, first: number, second: number, medianMs: number) {
        const step = createStep(2, true);
        const runs = [first, second].map((relativeRunTime, index) => {
            const wakeSignal = { notify: () => {}, wait: async () => {} };
            const worker = createWorkerEntry(`w${index}` as WorkerId, "", wakeSignal, 0);
            worker.relativeRunTime = relativeRunTime;
            const run = createRun(step.tasks[index]!, worker, 1, 0, true);
            confirmRun(run, 0);
            return run;
        });
        this.notes.set("runs", runs);
        this.notes.set("medianMs", medianMs);
    },
);

Given("the first member has done its work", function(this: TestWorld) {
    this.note<readonly Run[]>("runs")[0]!.percent = 100;
});

When(
    "the members have run for {int} ms and a guaranteed step with {int} ms left asks for their ends",
    function(this: TestWorld, elapsedMs: number, objectiveMs: number) {
        const medianMs = this.note<number>("medianMs");
        const step = createStep(1, false);
        const scheduler: Pick<Scheduler, "clock" | "runTimePredictor"> = {
            clock: () => elapsedMs,
            runTimePredictor: {
                forecast: () => ({ medianMs, highMs: medianMs * 2 }),
            } as unknown as Scheduler["runTimePredictor"],
        };
        const ranked = {
            entry: { ...step.job, acceptedAt: elapsedMs },
            times: { objectiveMs },
        } as unknown as RankedJob;
        const awaitEnd = createEndAwaiter(scheduler as Scheduler, ranked, step);
        this.notes.set("answers", this.note<readonly Run[]>("runs").map(awaitEnd));
    },
);

Then("the answers are {string}", function(this: TestWorld, answers: string) {
    assert.equal(this.note<readonly (number | undefined)[]>("answers").map(String).join(", "), answers);
});
