import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { IncomingMessage } from "node:http";
import { Readable } from "node:stream";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { readRequestBody } from "./readRequestBody.js";

When(
    "a request with the body {string} in {word} is read",
    async function(this: TestWorld, body: string, encoding: string) {
        const text = body.replace("\\u00e9", "\u00e9");
        const req = Readable.from([Buffer.from(text, encoding as BufferEncoding)]) as IncomingMessage;
        const read = await readRequestBody(req);
        this.notes.set("expected", text);
        this.notes.set("result", read.isOk() ? JSON.stringify(read.value) : `refused: ${read.error.message}`);
    },
);

Then(/^the request is (read|refused: .+)$/, function(this: TestWorld, result: string) {
    assert.equal(this.note("result"), result === "read" ? this.note("expected") : result);
});
