import type { Configuration } from "@balsamward/schema";
import { ConfigurationSchema, sha256Hex } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import type { Result } from "neverthrow";
import assert from "node:assert/strict";
import type { StoreFault } from "../../../features/support/FakeStore.js";
import { FakeStore } from "../../../features/support/FakeStore.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { AcceptDocumentError, Environment, Store } from "./index.js";
import {
    acceptDocument,
    configurationKey,
    createConfigurationTracker,
    createStore,
    promoteDocument,
} from "./index.js";

type Acceptance = Result<Configuration, AcceptDocumentError>;

const NOW_MS = 1_796_000_000_000;

Given("a store without documents", function(this: TestWorld) {
    const memory = new FakeStore(() => 0);
    this.notes.set("memory", memory);
    this.notes.set("store", createStore(memory.createTransport(), { pause: () => Promise.resolve() }));
});

Given("the write of the document meets the fault {string}", function(this: TestWorld, fault: string) {
    this.note<FakeStore>("memory").writeFaults = [fault as StoreFault];
});

When(
    "{string} and {string} accept different documents concurrently",
    async function(this: TestWorld, first: string, second: string) {
        this.notes.set(
            "results",
            await Promise.all([accept(this, first, first), accept(this, second, second)]),
        );
    },
);

When("{string} accepts the document {string}", async function(this: TestWorld, author: string, text: string) {
    this.notes.set("acceptance", await accept(this, author, text));
});

When(
    "{string} promotes the digest of {string}",
    async function(this: TestWorld, author: string, text: string) {
        const proposal = { author, expectedGeneration: undefined, nowMs: NOW_MS };
        this.notes.set(
            "promotion",
            await promoteDocument(this.note<Store>("store"), sha256Hex(text), proposal),
        );
    },
);

When("a tracker receives the generations {string}", function(this: TestWorld, generations: string) {
    const applied: string[] = [];
    const tracker = createConfigurationTracker(configuration =>
        applied.push(String(configuration.generation))
    );
    for (const generation of generations.split(" ")) {
        tracker.applyIfNewer(create(ConfigurationSchema, { generation: BigInt(generation) }));
    }
    this.notes.set("applied", applied);
});

Then("one is accepted and the other is told its author", function(this: TestWorld) {
    const results = this.note<readonly Acceptance[]>("results");
    const accepted = results.find(result => result.isOk());
    const rejected = results.find(result => result.isErr());
    assert.equal(rejected?._unsafeUnwrapErr().kind, "superseded");
    const { author } = accepted!._unsafeUnwrap();
    assert.ok(rejected!._unsafeUnwrapErr().message.includes(`by '${author}'`));
});

Then(
    "the configuration of {string} matches the snapshot",
    async function(this: TestWorld, environment: string) {
        const { generation, author, digest, history } = (await read(this, environment))!;
        this.expectSnapshot({ generation: Number(generation), author, digest, earlier: history.length });
    },
);

Then("the result of the acceptance is {string}", function(this: TestWorld, kind: string) {
    assert.equal(kindOf(this.note<Acceptance>("acceptance")), kind);
});

Then("the result of the promotion is {string}", function(this: TestWorld, kind: string) {
    assert.equal(kindOf(this.note<Acceptance>("promotion")), kind);
});

Then(
    "the generation of {string} is {int}",
    async function(this: TestWorld, environment: string, generation: number) {
        assert.equal(Number((await read(this, environment))?.generation ?? 0), generation);
    },
);

Then("production has the document {string}", async function(this: TestWorld, text: string) {
    assert.equal((await read(this, "production"))?.text, text);
});

Then("the generations {string} are put into force", function(this: TestWorld, generations: string) {
    assert.equal(this.note<readonly string[]>("applied").join(" "), generations);
});

function accept(world: TestWorld, author: string, text: string): Promise<Acceptance> {
    const proposal = { author, text, expectedGeneration: undefined, nowMs: NOW_MS };
    return acceptDocument(world.note<Store>("store"), "trial", proposal);
}

async function read(world: TestWorld, environment: string): Promise<Configuration | undefined> {
    const key = configurationKey(environment as Environment);
    return (await world.note<Store>("store").read(ConfigurationSchema, key))._unsafeUnwrap()?.message;
}

function kindOf(result: Acceptance): string {
    return result.isOk() ? "accepted" : result.error.kind;
}
