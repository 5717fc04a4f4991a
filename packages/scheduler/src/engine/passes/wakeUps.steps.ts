import { When } from "@cucumber/cucumber";
import { createTestConfiguration } from "../../../../../features/support/createTestConfiguration.js";
import { getHarness } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { WorkerId } from "../../index.js";

When("the worker {word} drains no longer", function(this: TestWorld, id: string) {
    getHarness(this).workers.get(id as WorkerId)!.isDraining = false;
});

When("the platform refuses the upkeep of {word}", function(this: TestWorld, machine: string) {
    getHarness(this).machines.refusedMachines.add(machine);
});

When("the configuration has no queue {word}", function(this: TestWorld, name: string) {
    const harness = getHarness(this);
    const { configuration } = harness;
    const queues = configuration.queues.filter(queue => queue.name !== name);
    harness.configuration = { ...configuration, version: configuration.version + 1, queues };
});

When("the configuration has all queues again", function(this: TestWorld) {
    const harness = getHarness(this);
    harness.configuration = { ...createTestConfiguration(), version: harness.configuration.version + 1 };
});
