import { Outcome } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { StoreFault } from "../../../../features/support/FakeStore.js";
import { GangTestHarness } from "../../../../features/support/GangTestHarness.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";

const RUN_MS = 3_600_000;
const SETTLE_MS = 2_000;
/** Longer than all attempts of a write take. */
const WRITE_MS = 5_000;
const FAULTY_WRITE_COUNT = 20;

function getHarness(world: TestWorld): GangTestHarness {
    return world.note<GangTestHarness>("cellHarness");
}

/** Submits jobs at the same time, and records their outcomes. */
async function submitTogether(world: TestWorld, ids: readonly string[]): Promise<void> {
    const harness = getHarness(world);
    const submissions = ids.map(id => harness.submit(id, "b", RUN_MS));
    await harness.advance(WRITE_MS);
    const outcomes = await Promise.all(submissions);
    world.notes.set("outcomes", outcomes.map(outcome => Outcome[outcome]).join(", "));
}

function setWriteFaults(world: TestWorld, first: StoreFault, others: StoreFault): void {
    const faults = Array.from({ length: FAULTY_WRITE_COUNT }, () => others);
    getHarness(world).store.writeFaults = [first, ...faults];
}

Given("a cell whose workers are all occupied", async function(this: TestWorld) {
    const harness = new GangTestHarness();
    this.notes.set("cellHarness", harness);
    this.cleanups.push(() => harness.close());
    await harness.takeOver();
    await harness.advance(SETTLE_MS);
    await harness.submit("b1", "b", RUN_MS);
    await harness.submit("b2", "b", RUN_MS);
    await harness.advance(SETTLE_MS);
});

When("{word} is submitted to the cell", async function(this: TestWorld, id: string) {
    await submitTogether(this, [id]);
});

When("{word} is submitted to the cell while the store is down", async function(this: TestWorld, id: string) {
    getHarness(this).store.isDown = true;
    await submitTogether(this, [id]);
    getHarness(this).store.isDown = false;
});

When(
    "{word} is submitted to the cell while the answers of the store are lost",
    async function(this: TestWorld, id: string) {
        setWriteFaults(this, "lost-call", "lost-call");
        await submitTogether(this, [id]);
        getHarness(this).store.writeFaults = [];
    },
);

When(
    "the jobs {word} and {word} are submitted together while one answer of the store is lost and the others are refused",
    async function(this: TestWorld, first: string, second: string) {
        setWriteFaults(this, "lost-call", "down");
        await submitTogether(this, [first, second]);
        getHarness(this).store.writeFaults = [];
    },
);

When(
    "the job {word} is submitted twice while the store refuses one write",
    async function(this: TestWorld, id: string) {
        setWriteFaults(this, "down", "none");
        await submitTogether(this, [id, id]);
        getHarness(this).store.writeFaults = [];
    },
);

Then("the outcome is {word}", function(this: TestWorld, outcome: string) {
    assert.equal(this.note("outcomes"), outcome);
});

Then("the outcomes are {string}", function(this: TestWorld, outcomes: string) {
    assert.equal(this.note("outcomes"), outcomes);
});

Then(
    /^the next owner of the cell (has|does not have) the job (\w+)$/,
    async function(this: TestWorld, answer: string, id: string) {
        await getHarness(this).takeOver();
        assert.equal(getHarness(this).job(id) !== undefined, answer === "has");
    },
);
