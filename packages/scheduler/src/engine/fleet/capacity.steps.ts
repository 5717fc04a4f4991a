import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { WorkerId } from "../../index.js";

When(
    "the capacity of {word} changes to {int} accelerators",
    function(this: TestWorld, id: string, accelerators: number) {
        const worker = getHarness(this).workers.get(id as WorkerId)!;
        worker.capacity = { ...worker.capacity, accelerators };
    },
);

Then("no start has brought a worker over its capacity", function(this: TestWorld) {
    const names = [...getHarness(this).workers.values()].flatMap(worker => worker.startsOverCapacity);
    assert.deepEqual(names, []);
});
