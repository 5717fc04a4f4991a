import { ClaimSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Result } from "neverthrow";
import assert from "node:assert/strict";
import type { StoreFault } from "../../../features/support/FakeStore.js";
import { FakeStore } from "../../../features/support/FakeStore.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { Store, StoreError } from "./index.js";
import { createStore } from "./index.js";

const KEY = "production/claims/a/1";

Given("an in-memory store with a claim written by another daemon", async function(this: TestWorld) {
    const memory = new FakeStore(() => 0);
    let nonceCount = 0;
    const backoffCallbacks: (() => Promise<void>)[] = [];
    const store = createStore(memory.createTransport(), {
        createNonce: () => `nonce-${nonceCount++}`,
        pause: async () => {
            await backoffCallbacks.shift()?.();
        },
    });
    await store.write(ClaimSchema, {
        key: KEY,
        message: create(ClaimSchema, { node: "first" }),
        expectedRevision: 0,
    });
    this.notes.set("memory", memory);
    this.notes.set("store", store);
    this.notes.set("backoffCallbacks", backoffCallbacks);
    this.notes.set("revision", memory.model.get(KEY)!.revision);
});

Given("the next writes meet the faults {string}", function(this: TestWorld, faults: string) {
    this.note<FakeStore>("memory").writeFaults = faults.split(" ") as StoreFault[];
});

Given("another daemon replaces the claim during the first backoff", function(this: TestWorld) {
    const { model } = this.note<FakeStore>("memory");
    this.note<(() => Promise<void>)[]>("backoffCallbacks").push(async () => {
        model.compareAndSwap(KEY, new Uint8Array(), undefined);
    });
});

When("the claim is replaced", async function(this: TestWorld) {
    const store = this.note<Store>("store");
    const message = create(ClaimSchema, { node: "second" });
    this.notes.set(
        "result",
        await store.write(ClaimSchema, { key: KEY, message, expectedRevision: this.note("revision") }),
    );
});

When("the stored bytes are corrupted", function(this: TestWorld) {
    const { model } = this.note<FakeStore>("memory");
    const bytes = Uint8Array.from(model.get(KEY)!.value);
    bytes[bytes.length - 1]! ^= 1;
    model.compareAndSwap(KEY, bytes, undefined);
});

Then("the write is {string}", function(this: TestWorld, kind: string) {
    const result = this.note<Result<number, StoreError>>("result");
    assert.equal(result.isOk() ? "done" : result.error.kind, kind);
});

Then("the value has changed {int} times", async function(this: TestWorld, times: number) {
    const { model } = this.note<FakeStore>("memory");
    assert.equal(model.get(KEY)!.revision - this.note<number>("revision"), times);
});

Then("reading the claim fails with {string}", async function(this: TestWorld, kind: string) {
    const read = await this.note<Store>("store").read(ClaimSchema, KEY);
    assert.equal(read._unsafeUnwrapErr().kind, kind);
});
