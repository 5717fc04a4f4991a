import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { BoundedOutput, WriteBytes } from "./createBoundedOutput.js";
import { createBoundedOutput } from "./createBoundedOutput.js";

const FLUSH_TIMEOUT_MS = 500;

type Output = { text: string; dropped: number; readonly writes: string[] };

function openStream(world: TestWorld, createWriteBytes: (output: Output) => WriteBytes): void {
    const output: Output = { text: "", dropped: 0, writes: [] };
    const { stream, flush } = createBoundedOutput(() => {
        output.dropped += 1;
    }, { writeBytes: createWriteBytes(output), retryLater: callback => setImmediate(callback) });
    world.notes.set("output", output);
    world.notes.set("stream", stream);
    world.notes.set("flush", flush);
}

Given("an output that is full for the first {int} writes", function(this: TestWorld, times: number) {
    let fullWritesLeft = times;
    openStream(this, output => (bytes, done) => {
        fullWritesLeft -= 1;
        if (fullWritesLeft >= 0) {
            done(Object.assign(new Error("full"), { code: "EAGAIN" }), 0);
            return;
        }
        output.text += bytes.toString();
        done(null, bytes.length);
    });
});

Given("an output that accepts {int} bytes per write", function(this: TestWorld, count: number) {
    openStream(this, output => (bytes, done) => {
        const part = bytes.subarray(0, count);
        output.text += part.toString();
        done(null, part.length);
    });
});

Given("an output that completes each write asynchronously", function(this: TestWorld) {
    openStream(this, output => (bytes, done) => {
        output.writes.push(bytes.toString());
        setImmediate(() => done(null, bytes.length));
    });
});

Given("an output that never completes a write", function(this: TestWorld) {
    openStream(this, () => () => {});
});

When("{int} log lines are written", async function(this: TestWorld, count: number) {
    const stream = this.note<NodeJS.WritableStream>("stream");
    for (let number = 0; number < count; number++) {
        stream.write(`line ${number}\n`);
    }
    for (let iteration = 0; iteration < 10; iteration++) {
        await new Promise(resolve => setImmediate(resolve));
    }
});

When("{int} log line(s) is/are written and flushed", async function(this: TestWorld, count: number) {
    const stream = this.note<NodeJS.WritableStream>("stream");
    for (let number = 0; number < count; number++) {
        stream.write(`line ${number}\n`);
    }
    this.notes.set("isFlushed", await this.note<BoundedOutput["flush"]>("flush")(FLUSH_TIMEOUT_MS));
});

Then(/^the lines (are|are not) flushed$/, function(this: TestWorld, expected: string) {
    assert.equal(this.note<boolean>("isFlushed"), expected === "are");
});

Then("the output holds the lines {string}", function(this: TestWorld, lines: string) {
    assert.equal(this.note<Output>("output").text, lines.split(", ").map(line => `${line}\n`).join(""));
});

Then("{int} lines were dropped", function(this: TestWorld, count: number) {
    assert.equal(this.note<Output>("output").dropped, count);
});

Then(
    "the output received several writes of at most {int} bytes each",
    function(this: TestWorld, count: number) {
        const { writes } = this.note<Output>("output");
        const sizes = writes.map(text => text.length);
        assert.ok(sizes.length > 1 && Math.max(...sizes) <= count, sizes.join(", "));
    },
);

Then("each write holds whole lines", function(this: TestWorld) {
    const torn = this.note<Output>("output").writes.filter(text => !text.endsWith("\n"));
    assert.deepEqual(torn, []);
});

Then("some lines were dropped", function(this: TestWorld) {
    assert.ok(this.note<Output>("output").dropped > 0);
});
