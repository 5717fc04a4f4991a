import { StepSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { WorkerId } from "../../ids.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { createWorkerEntry } from "../../state/WorkerEntry.js";
import { countExclusions } from "./countExclusions.js";

type LoggedWait = { readonly job: string; readonly workers: Readonly<Record<string, number>> };

const NOW = 1_000;
const WAIT_MESSAGE = "A step waits although there is room for it.";

function createWorker(state: string, number: number): WorkerEntry {
    const wakeSignal = { notify: () => {}, wait: async () => {} };
    const worker = createWorkerEntry(`w${number}` as WorkerId, "address", wakeSignal, 0);
    worker.free.cpuMillis = state === "full" ? 0 : 1_000;
    worker.isListed = state !== "unlisted";
    worker.dataCentre = state === "evacuated" ? "out" : "in";
    worker.draining = state === "draining";
    worker.hasAnswered = state !== "unanswered";
    worker.isUnresponsive = state === "unresponsive";
    worker.isCordoned = state === "cordoned";
    worker.pausedUntil = state === "paused" ? NOW + 1 : NOW;
    return worker;
}

Given("workers that are {string}", function(this: TestWorld, states: string) {
    const workers = states.split(", ").map((state, number) => ({
        state,
        entry: createWorker(state, number),
    }));
    this.notes.set("workers", workers);
});

When("the exclusions of a step are counted", function(this: TestWorld) {
    const workers = this.note<readonly { readonly state: string; readonly entry: WorkerEntry }[]>("workers");
    const inRoster = workers.filter(({ state }) => state !== "not-in-roster");
    const counts = countExclusions(
        create(StepSchema, { taskCount: 1, request: { cpuMillis: 1_000 } }),
        workers.map(({ entry }) => entry),
        {
            reserved: new Set(workers.filter(({ state }) => state === "reserved").map(({ entry }) => entry)),
            evacuated: new Set(["out"]),
            roster: new Map(inRoster.map(({ entry }) => [entry.id, entry.address])),
            now: NOW,
        },
    );
    this.notes.set("counts", counts);
});

Then("the counts match their snapshot", function(this: TestWorld) {
    this.expectSnapshot(this.note("counts"));
});

Given("the log is recorded", function(this: TestWorld) {
    const waits: LoggedWait[] = [];
    this.notes.set("waits", waits);
    const { log } = getHarness(this).terms.at(-1)!.scheduler;
    const record = (message: string, meta: LoggedWait): typeof log => {
        if (message === WAIT_MESSAGE) {
            waits.push(meta);
        }
        return log;
    };
    Object.assign(log, { info: record });
});

Then(
    "{int} wait(s) of {word} is/are logged, with the workers {string}",
    function(this: TestWorld, count: number, job: string, workers: string) {
        const waits = this.note<readonly LoggedWait[]>("waits").filter(wait =>
            wait.job === getJobId(this, job)
        );
        assert.equal(waits.length, count);
        const texts = waits.map(wait =>
            Object.entries(wait.workers).map(([reason, number]) => `${reason} ${number}`).join(", ")
        );
        assert.deepEqual(new Set(texts), new Set([workers]));
    },
);
