import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { parseSeeds } from "../../../../../features/support/parseSeeds.js";
import type { SoakFaults, SoakOutcome } from "../../../../../features/support/soakTakeovers.js";
import { soakTakeovers } from "../../../../../features/support/soakTakeovers.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";

const SOAK_TIMEOUT_MS = 600_000;

/** Variable that replaces the seeds for a long soak by hand. */
const SEEDS_VARIABLE = "TAKEOVER_SEEDS";

type SeedOutcome = SoakOutcome & { readonly seed: number };

When(
    "takeovers with {word} are played for the seeds {string}",
    { timeout: SOAK_TIMEOUT_MS },
    async function(this: TestWorld, faults: string, seeds: string) {
        const outcomes: SeedOutcome[] = [];
        for (const seed of parseSeeds(process.env[SEEDS_VARIABLE] ?? seeds)) {
            outcomes.push({ seed, ...await soakTakeovers(seed, faults as SoakFaults) });
        }
        this.notes.set("outcomes", outcomes);
    },
);

Then("no seed gave a task two runs at the same time", function(this: TestWorld) {
    const failed = this.note<SeedOutcome[]>("outcomes").filter(outcome =>
        outcome.overlappingTasks.length > 0
    );
    assert.deepEqual(failed, []);
});

Then("no seed left a job without runs", function(this: TestWorld) {
    const failed = this.note<SeedOutcome[]>("outcomes").filter(outcome => outcome.stuckJobs.length > 0);
    assert.deepEqual(failed, []);
});

Then("no job was shown as failed before a task had failed often enough", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(outcomes.filter(outcome => outcome.earlyFailures.length > 0), []);
});

Then("some jobs were shown as failed", function(this: TestWorld) {
    assert.ok(this.note<SeedOutcome[]>("outcomes").some(outcome => outcome.failedJobs > 0));
});
