import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { formatTimeline } from "./formatTimeline.js";
import type { LogLine } from "./LogLine.js";
import { parseLogLine } from "./parseLogLine.js";
import { selectTimeline } from "./selectTimeline.js";

Given("the logs:", function(this: TestWorld, text: string) {
    this.notes.set("lines", text.split("\n").map(parseLogLine).filter(line => line !== undefined));
});

Then("the timeline of {string} matches its snapshot", function(this: TestWorld, id: string) {
    this.expectSnapshot(formatTimeline(selectTimeline(this.note<LogLine[]>("lines"), id), id));
});

Then("the timeline of {string} is empty", function(this: TestWorld, id: string) {
    assert.deepEqual(selectTimeline(this.note<LogLine[]>("lines"), id), []);
});
