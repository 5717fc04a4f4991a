import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { StallLog } from "./createStallLog.js";
import { createStallLog } from "./createStallLog.js";

type StallLine = { readonly tookMs: number; readonly cpuMs: number };

/** A process with clocks of its own, and the stalls that it has logged. */
type StallFixture = StallLog & {
    now: number;
    cpuMs: number;
    readonly stalls: string[];
};

Given("a process that logs stalls of its event loop", function(this: TestWorld) {
    const stalls: string[] = [];
    const log = {
        info: (_message: string, { tookMs, cpuMs }: StallLine) => stalls.push(`${tookMs} with ${cpuMs}`),
    };
    const clocks = { now: 1_000, cpuMs: 50 };
    const stallLog = createStallLog(log as never, { clock: () => clocks.now, cpuClock: () => clocks.cpuMs });
    const fixture: StallFixture = Object.assign(clocks, { ...stallLog, stalls });
    this.notes.set("stalls", fixture);
});

When(
    "its next turn comes after {int} ms, in which it used {int} ms of processor time",
    function(this: TestWorld, afterMs: number, cpuMs: number) {
        const fixture = this.note<StallFixture>("stalls");
        fixture.now += afterMs;
        fixture.cpuMs += cpuMs;
        fixture.noteTurn();
    },
);

Then("the logged stalls are {string}", function(this: TestWorld, stalls: string) {
    assert.equal(this.note<StallFixture>("stalls").stalls.join(", "), stalls);
});

When("{int} seconds pass with a turn each 0.1 seconds", function(this: TestWorld, seconds: number) {
    const fixture = this.note<StallFixture>("stalls");
    for (let turn = 0; turn < seconds * 10; turn++) {
        fixture.now += 100;
        fixture.noteTurn();
    }
});

Then("the longest stall is of {int} ms", function(this: TestWorld, ms: number) {
    assert.equal(this.note<StallFixture>("stalls").getLongestMs(), ms);
});
