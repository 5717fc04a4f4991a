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
        worker.listedCapacity = undefined;
    },
);

When(
    "the capacity of all workers changes to {int} accelerators",
    function(this: TestWorld, accelerators: number) {
        for (const worker of getHarness(this).workers.values()) {
            worker.capacity = { ...worker.capacity, accelerators };
        }
    },
);

When("{word} guards its capacity", function(this: TestWorld, id: string) {
    getHarness(this).workers.get(id as WorkerId)!.guardsCapacity = true;
});

When(
    "{word} has {int} accelerators but is listed with {int}",
    function(this: TestWorld, id: string, accelerators: number, listed: number) {
        const worker = getHarness(this).workers.get(id as WorkerId)!;
        worker.listedCapacity = { ...worker.capacity, accelerators: listed };
        worker.capacity = { ...worker.capacity, accelerators };
    },
);

Then("no start has brought a worker over its capacity", function(this: TestWorld) {
    const names = [...getHarness(this).workers.values()].flatMap(worker => worker.startsOverCapacity);
    assert.deepEqual(names, []);
});
