import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type {
    CrashSoakFaults,
    CrashSoakOutcome,
} from "../../../../../features/support/crashes/soakCrashes.js";
import { soakCrashes } from "../../../../../features/support/crashes/soakCrashes.js";
import { parseSeeds } from "../../../../../features/support/parseSeeds.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";

const SOAK_TIMEOUT_MS = 600_000;

/** Variable that replaces the seeds for a long soak by hand. */
const SEEDS_VARIABLE = "CRASH_SEEDS";

/** Number of starts after the third crash under a task that are allowed. */
const MAX_LATE_STARTS = 2;

type SeedOutcome = CrashSoakOutcome & { readonly seed: number };

When(
    "a guilty task beside {word} is played for the seeds {string}",
    { timeout: SOAK_TIMEOUT_MS },
    async function(this: TestWorld, faults: string, seeds: string) {
        const outcomes: SeedOutcome[] = [];
        for (const seed of parseSeeds(process.env[SEEDS_VARIABLE] ?? seeds)) {
            outcomes.push({ seed, ...await soakCrashes(seed, faults as CrashSoakFaults) });
        }
        this.notes.set("outcomes", outcomes);
    },
);

Then("no seed started the guilty task more than twice after its third crash", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(
        outcomes.filter(({ startsAfterThirdCrash }) => startsAfterThirdCrash > MAX_LATE_STARTS),
        [],
    );
});

Then("no seed gave up another job", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(outcomes.filter(({ failedBystanders }) => failedBystanders.length > 0), []);
});

Then("no seed kept another job waiting", function(this: TestWorld) {
    const outcomes = this.note<SeedOutcome[]>("outcomes");
    assert.deepEqual(outcomes.filter(({ unfinishedBystanders }) => unfinishedBystanders.length > 0), []);
});
