import { Then, When } from "@cucumber/cucumber";
import { getHarness } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { FleetConfiguration, Queue } from "../../FleetConfiguration.js";
import type { QueueName } from "../../ids.js";

/** Composes the next version of a configuration, in which one queue differs. */
function composeNext(
    configuration: FleetConfiguration,
    name: string,
    change: Partial<Queue>,
): FleetConfiguration {
    return {
        ...configuration,
        version: configuration.version + 1,
        queues: configuration.queues.map(queue => queue.name === name ? { ...queue, ...change } : queue),
    };
}

/** Changes one queue of the configuration. */
function changeQueue(world: TestWorld, name: string, change: Partial<Queue>): void {
    const harness = getHarness(world);
    harness.configuration = composeNext(harness.configuration, name, change);
}

When("the queue {word} is replaced by {word}", function(this: TestWorld, name: string, nextName: string) {
    changeQueue(this, name, { name: nextName as QueueName });
});

When("the queue {word} allows {int} attempts", function(this: TestWorld, name: string, attempts: number) {
    changeQueue(this, name, { attempts });
});

When(
    "the next configuration sends the queue {word} to {word}",
    function(this: TestWorld, name: string, service: string) {
        const { configuration } = getHarness(this);
        this.notes.set("next configuration", composeNext(configuration, name, { service }));
    },
);

When(
    "the next configuration allows {int} attempts in the queue {word}",
    function(this: TestWorld, attempts: number, name: string) {
        const { configuration } = getHarness(this);
        this.notes.set("next configuration", composeNext(configuration, name, { attempts }));
    },
);

When("the owner has the next configuration", function(this: TestWorld) {
    getHarness(this).configuration = this.note<FleetConfiguration>("next configuration");
});

When("the configuration has several services", function(this: TestWorld) {
    const harness = getHarness(this);
    const { version, services } = harness.configuration;
    harness.configuration = {
        ...harness.configuration,
        version: version + 1,
        services: [...services, { name: "other", checksAdmission: true, standby: false }],
    };
});

When("the configuration has no customers", function(this: TestWorld) {
    const harness = getHarness(this);
    const { version } = harness.configuration;
    harness.configuration = { ...harness.configuration, version: version + 1, customers: [] };
});

Then("the jobs without a queue match the snapshot", async function(this: TestWorld) {
    const { metrics } = getHarness(this).terms.at(-1)!.scheduler;
    const { values } = await metrics.jobsWithoutQueue.get();
    this.expectSnapshot(values.map(({ labels, value }) => ({ terms: labels.terms, jobs: value })));
});
