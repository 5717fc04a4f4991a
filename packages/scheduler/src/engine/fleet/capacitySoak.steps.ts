import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { CapacitySoakOutcome } from "../../../../../features/support/soakCapacities.js";
import { soakCapacities } from "../../../../../features/support/soakCapacities.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";

const SOAK_TIMEOUT_MS = 300_000;

type SeedOutcome = CapacitySoakOutcome & { readonly seed: number };

/** Returns the seeds for which a list of an outcome is not empty, each with the list. */
function findFailures(
    world: TestWorld,
    list: (outcome: CapacitySoakOutcome) => readonly string[],
): readonly (readonly [number, readonly string[]])[] {
    return world.note<SeedOutcome[]>("outcomes")
        .map(outcome => [outcome.seed, list(outcome)] as const)
        .filter(([, items]) => items.length > 0);
}

When(
    "random changes of capacities are played for the seeds {int} to {int}",
    { timeout: SOAK_TIMEOUT_MS },
    async function(this: TestWorld, first: number, last: number) {
        const outcomes: SeedOutcome[] = [];
        for (let seed = first; seed <= last; seed++) {
            outcomes.push({ seed, ...await soakCapacities(seed) });
        }
        this.notes.set("outcomes", outcomes);
    },
);

Then("no seed brought a worker over a capacity that the owner knew", function(this: TestWorld) {
    assert.deepEqual(findFailures(this, outcome => outcome.startsOverCapacity), []);
    assert.deepEqual(findFailures(this, outcome => outcome.overlappingTasks), []);
});

Then("no seed left a job waiting on workers with their full capacity", function(this: TestWorld) {
    assert.deepEqual(findFailures(this, outcome => outcome.stuckJobs), []);
});

Then("the owner counts as free what the runs of each worker leave", function(this: TestWorld) {
    assert.deepEqual(findFailures(this, outcome => outcome.miscounts), []);
});
