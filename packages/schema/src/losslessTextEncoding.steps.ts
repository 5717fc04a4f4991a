import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Then, When } from "@cucumber/cucumber";
import fc from "fast-check";
import assert from "node:assert/strict";
import { parseText } from "../../../features/support/parseText.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { losslessTextEncoding } from "./losslessTextEncoding.js";
import { JobSchema } from "./scheduling.js";

const RANDOM_SEED = 9;
const MAX_CODE_UNIT = 0xffff;

/** A code unit; those of surrogates and of the byte order mark come often. */
const CODE_UNIT = fc.oneof(
    fc.integer({ min: 0, max: MAX_CODE_UNIT }),
    fc.integer({ min: 0xd800, max: 0xdfff }),
    fc.constantFrom(0xfeff, 0xfffd, 0x61),
);

function encode(text: string): Uint8Array {
    return toBinary(JobSchema, create(JobSchema, { spec: text }));
}

function decode(bytes: Uint8Array): string {
    return fromBinary(JobSchema, bytes).spec;
}

When("the text {string} is encoded in a message and decoded", function(this: TestWorld, text: string) {
    this.notes.set("text", parseText(text));
    this.notes.set("bytes", encode(parseText(text)));
});

Then("it is the same text", function(this: TestWorld) {
    assert.equal(decode(this.note<Uint8Array>("bytes")), this.note<string>("text"));
});

Then("{int} random texts come out of messages as they went in", function(this: TestWorld, count: number) {
    const texts = fc.array(CODE_UNIT, { maxLength: 20 }).map(units => String.fromCharCode(...units));
    fc.assert(fc.property(texts, text => decode(encode(text)) === text), {
        seed: RANDOM_SEED,
        numRuns: count,
    });
});

Then("its bytes are {string}", function(this: TestWorld, hex: string) {
    const encoded = losslessTextEncoding.encodeUtf8(this.note<string>("text"));
    assert.equal(Buffer.from(encoded).toString("hex"), hex);
});

Then("the bytes {string} are decoded as {string}", function(this: TestWorld, hex: string, text: string) {
    assert.equal(losslessTextEncoding.decodeUtf8(Buffer.from(hex, "hex")), parseText(text));
});
