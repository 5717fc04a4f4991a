import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { TurnLog } from "./createTurnLog.js";
import { createTurnLog } from "./createTurnLog.js";

Given("a process that notes its turns at {string} ms", function(this: TestWorld, times: string) {
    const [first, ...later] = times.split(" ").map(Number);
    let now = first!;
    const turns = createTurnLog(() => now);
    for (const time of later) {
        now = time;
        turns.note();
    }
    this.notes.set("turns", turns);
});

Then(
    "a signal that is handled at {int} ms was sent after {int} ms",
    function(this: TestWorld, handledAt: number, sentAfter: number) {
        const lastTurnAt = this.note<TurnLog>("turns").getLastTurnAt();
        assert.equal(lastTurnAt, sentAfter);
        assert.ok(lastTurnAt <= handledAt);
    },
);
