import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { formatStory } from "./formatStory.js";
import type { LogLine } from "./LogLine.js";
import { parseLogLine } from "./parseLogLine.js";
import { selectStory } from "./selectStory.js";

Given("the logs:", function(this: TestWorld, text: string) {
    this.notes.set("lines", text.split("\n").map(parseLogLine).filter(line => line !== undefined));
});

Then("the story of {string} matches its snapshot", function(this: TestWorld, id: string) {
    this.expectSnapshot(formatStory(selectStory(this.note<LogLine[]>("lines"), id), id));
});

Then("the story of {string} is empty", function(this: TestWorld, id: string) {
    assert.deepEqual(selectStory(this.note<LogLine[]>("lines"), id), []);
});
