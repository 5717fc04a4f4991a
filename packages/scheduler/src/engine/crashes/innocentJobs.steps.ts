import { When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createRandom } from "../../../../../features/support/createRandom.js";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { SchedulerTestHarness } from "../../../../../features/support/SchedulerTestHarness.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { OWNER_LEASE_TTL_MS } from "../../constants.js";

const MS_PER_SECOND = 1_000;

/** Limit of the real time that a step takes, in milliseconds. */
const LONG_STEP_TIMEOUT_MS = 300_000;

/** Time between two looks for runs that have lasted long enough, in milliseconds. */
const LOOK_INTERVAL_MS = 100;

/** Time between two crashes of workers under a lasting task, in milliseconds. */
const LONG_INTERVAL_MS = 40_000;

/** Seed of the choice of the workers that crash together. */
const STORM_SEED = 7;

/** Advances the clock; runs make progress, and end as done after a time. */
async function advance(
    harness: SchedulerTestHarness,
    ms: number,
    runMs = Number.POSITIVE_INFINITY,
): Promise<void> {
    const { workers, clock } = harness;
    const endAt = clock.now + ms;
    while (clock.now < endAt) {
        for (const worker of workers.values()) {
            for (const [name, run] of worker.running) {
                run.percent += 1;
                if (clock.now - run.startedAt >= runMs) {
                    worker.endRun(name, "done");
                }
            }
        }
        await harness.advance(LOOK_INTERVAL_MS);
    }
}

When(
    "a fifth of the workers crashes together every {int} seconds, {int} times, while runs end after {int} seconds",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, seconds: number, count: number, runSeconds: number) {
        const harness = getHarness(this);
        const random = createRandom(STORM_SEED);
        for (let storm = 0; storm < count; storm++) {
            await advance(harness, seconds * MS_PER_SECOND, runSeconds * MS_PER_SECOND);
            const upWorkers = [...harness.workers.values()].filter(({ isDown }) => !isDown);
            upWorkers.filter(() => random() < 1 / 5).forEach(worker => worker.crash());
        }
    },
);

When(
    "the worker under task {word} of {word} crashes {int} times, 40 seconds apart, with {int} deaths of the owner",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, task: string, job: string, count: number, deaths: number) {
        const harness = getHarness(this);
        for (let crash = 0; crash < count; crash++) {
            await advance(harness, LONG_INTERVAL_MS);
            const worker = harness.workerOf(`${getJobId(this, job)}.${task}`);
            assert.ok(worker, `The task does not run before crash ${crash + 1}.`);
            worker.crash();
            if (crash < deaths) {
                await advance(harness, LONG_INTERVAL_MS / 2);
                harness.killOwner();
                await advance(harness, OWNER_LEASE_TTL_MS);
                await harness.beginTerm();
            }
        }
        await advance(harness, LONG_INTERVAL_MS);
    },
);

When(
    "the machine under task {word} of {word} crashes every {int} seconds, {int} times",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, task: string, job: string, seconds: number, count: number) {
        const harness = getHarness(this);
        const worker = harness.workerOf(`${getJobId(this, job)}.${task}`)!;
        worker.downtimeMs = MS_PER_SECOND;
        for (let crash = 0; crash < count; crash++) {
            worker.crash();
            await harness.advance(seconds * MS_PER_SECOND);
        }
    },
);

When(
    "the worker under task {word} of {word} crashes {int} times, {int} seconds after each start",
    { timeout: LONG_STEP_TIMEOUT_MS },
    async function(this: TestWorld, task: string, job: string, count: number, seconds: number) {
        const harness = getHarness(this);
        const name = `${getJobId(this, job)}.${task}`;
        for (let crash = 0; crash < count; crash++) {
            for (let waitedMs = 0; harness.workerOf(name) === undefined && waitedMs < LONG_INTERVAL_MS;) {
                await advance(harness, LOOK_INTERVAL_MS);
                waitedMs += LOOK_INTERVAL_MS;
            }
            await advance(harness, seconds * MS_PER_SECOND);
            harness.workerOf(name)!.crash();
        }
    },
);
