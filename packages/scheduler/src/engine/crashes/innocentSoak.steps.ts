import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { InnocentSoakOutcome } from "../../../../../features/support/crashes/soakInnocents.js";
import { soakInnocents } from "../../../../../features/support/crashes/soakInnocents.js";
import type { WorkerDisruption } from "../../../../../features/support/crashes/WorkerDisrupter.js";
import { parseSeeds } from "../../../../../features/support/parseSeeds.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";

const SOAK_TIMEOUT_MS = 1_200_000;

/** Variable that replaces the seeds for a long soak by hand. */
const SEEDS_VARIABLE = "INNOCENT_SEEDS";

type SeedOutcome = InnocentSoakOutcome & { readonly seed: number };

When(
    "innocent jobs beside {word} with {word} are played for the seeds {string}",
    { timeout: SOAK_TIMEOUT_MS },
    async function(this: TestWorld, disruption: string, owners: string, seeds: string) {
        const outcomes: SeedOutcome[] = [];
        for (const seed of parseSeeds(process.env[SEEDS_VARIABLE] ?? seeds)) {
            const outcome = await soakInnocents({
                seed,
                disruption: disruption as WorkerDisruption,
                hasTakeovers: owners === "takeovers",
            });
            outcomes.push({ seed, ...outcome });
        }
        this.notes.set("outcomes", outcomes);
    },
);

Then("no seed showed an innocent job as failed", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(outcomes.filter(({ failedJobs }) => failedJobs.length > 0), []);
});

Then("no seed left an innocent job unfinished after the disruptions", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(outcomes.filter(({ unfinishedJobs }) => unfinishedJobs.length > 0), []);
});

Then("no seed left a lasting task idle after the disruptions", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(outcomes.filter(({ idleTasks }) => idleTasks.length > 0), []);
});
