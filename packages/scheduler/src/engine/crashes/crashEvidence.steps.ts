import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { CrashCircumstances } from "./computeCrashEvidence.js";
import { computeCrashEvidence } from "./computeCrashEvidence.js";

const EXPLANATIONS: Readonly<Record<string, Partial<CrashCircumstances>>> = {
    "nothing": {},
    "another run on the worker": { neighbourCount: 1 },
    "one other crash at the same time": { simultaneousCrashes: 1 },
    "two other crashes at the same time": { simultaneousCrashes: 2 },
    "a minute with 20 single crashes elsewhere": { otherCrashes: 20 },
    "a minute with 20 common crashes elsewhere": { otherCommonCrashes: 20 },
    "a crash of the machine 10 s ago": { earlierCrashesOfMachine: 1, sinceFirstCrashOfMachineMs: 10_000 },
    "a machine that has crashed 4 times in 12 s": {
        earlierCrashesOfMachine: 4,
        sinceFirstCrashOfMachineMs: 12_000,
    },
    "a start that the silent worker never confirmed": { isConfirmed: false, silenceMs: 2_000 },
    "a run that had lasted 30 s": { ageMs: 30_000 },
    "a gang of 8 members": { workerCount: 8 },
};

Given(
    "a crash under a run that has lasted {int} s, in a fleet of {int} workers",
    function(this: TestWorld, seconds: number, fleetSize: number) {
        const circumstances: CrashCircumstances = {
            fleetSize,
            simultaneousCrashes: 0,
            otherCrashes: 0,
            otherCommonCrashes: 0,
            earlierCrashesOfMachine: 0,
            sinceFirstCrashOfMachineMs: 0,
            observedMs: 60_000,
            ageMs: seconds * 1_000,
            workerCount: 1,
            isConfirmed: true,
            isInherited: false,
            silenceMs: 0,
            neighbourCount: 0,
        };
        this.notes.set("circumstances", circumstances);
    },
);

When(/^(.+) explains it$/, function(this: TestWorld, explanation: string) {
    const change = EXPLANATIONS[explanation];
    assert.ok(change, `No circumstances are known for '${explanation}'.`);
    this.notes.set("circumstances", { ...this.note<CrashCircumstances>("circumstances"), ...change });
});

Then("it counts as {float}", function(this: TestWorld, evidence: number) {
    const computed = computeCrashEvidence(this.note<CrashCircumstances>("circumstances"));
    assert.equal(Math.round(10 * computed) / 10, evidence);
});
