import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { StepEntry } from "../../state/JobEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { findStragglers } from "./findStragglers.js";

const MS_PER_SECOND = 1_000;

Given(
    "a step whose runs usually take {int} seconds on a typical worker",
    function(this: TestWorld, seconds: number) {
        const medianMs = seconds * MS_PER_SECOND;
        this.notes.set("forecast", { medianMs, highMs: 2 * medianMs });
    },
);

When(
    "one has run for {int} seconds on a worker that takes {float} times as long, and is {int} percent done",
    function(this: TestWorld, seconds: number, relativeRunTime: number, percent: number) {
        const worker = { relativeRunTime, coldUntil: Number.NEGATIVE_INFINITY };
        const run = { phase: "running", confirmedAt: 0, percent, worker };
        const task = { done: false, runs: [run], crashAgeMs: 0, crashedRuns: new Set() };
        const step = { spec: { copiesAllowed: true }, tasks: [task] } as unknown as StepEntry;
        const scheduler = {
            clock: () => seconds * MS_PER_SECOND,
            runTimePredictor: { forecast: () => this.note("forecast") },
        } as unknown as Scheduler;
        this.notes.set("stragglers", findStragglers(scheduler, step).length);
    },
);

Then(/^it is (not )?a straggler$/, function(this: TestWorld, negation: string | null) {
    assert.equal(this.note("stragglers"), negation === null ? 1 : 0);
});
