import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { createStallLog } from "./createStallLog.js";

type StallLine = { readonly tookMs: number; readonly cpuMs: number };

/** A process with clocks of its own, and the stalls that it has logged. */
type StallFixture = {
    now: number;
    cpuMs: number;
    readonly noteTurn: () => void;
    readonly stalls: string[];
};

Given("a process that logs stalls of its event loop", function(this: TestWorld) {
    const stalls: string[] = [];
    const log = {
        info: (_message: string, { tookMs, cpuMs }: StallLine) => stalls.push(`${tookMs} with ${cpuMs}`),
    };
    const clocks = { now: 1_000, cpuMs: 50 };
    const noteTurn = createStallLog(log as never, { clock: () => clocks.now, cpuClock: () => clocks.cpuMs });
    const fixture: StallFixture = Object.assign(clocks, { noteTurn, stalls });
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
