import type { FleetConfiguration, QueueName } from "@balsamward/scheduler";
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestConfiguration } from "../../../../../features/support/createTestConfiguration.js";
import type { LoadShape } from "../../../../../features/support/scheduler/generateLoad.js";
import { generateLoad } from "../../../../../features/support/scheduler/generateLoad.js";
import type { ReplayedJob, ReplayedLoad } from "../../../../../features/support/scheduler/replayLoad.js";
import { replayLoad } from "../../../../../features/support/scheduler/replayLoad.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";

/** Bound of the start of a guaranteed job after its acceptance, in milliseconds. */
const RECLAIM_BOUND_MS = 2_700;

/** Guaranteed accelerators of each customer. */
const GUARANTEE = 56;

const WORKERS = 32;
const DURATION_MS = 34_000;
const DRAIN_MS = 60_000;

/** Factor of the numbers of the seeds, which spreads them. */
const SEED_FACTOR = 7_919;

const CUSTOMERS = ["c0", "c1", "c2", "c3"];
const ACCELERATORS = [1, 2, 4, 8];

/** Urgent gangs in bursts over a fleet that gangs and wide tasks fill. */
const BURSTS: readonly LoadShape[] = [
    {
        queue: "urgent",
        customers: CUSTOMERS,
        meanGapMs: 3_000,
        burst: 3,
        tasks: 5,
        runMs: 2_100,
        cores: 15,
        accelerators: ACCELERATORS,
        gang: true,
        checkpoints: false,
    },
    {
        queue: "normal",
        customers: CUSTOMERS,
        meanGapMs: 3_500,
        burst: 1,
        tasks: 13,
        runMs: 9_400,
        cores: 52,
        accelerators: ACCELERATORS,
        gang: true,
        checkpoints: true,
    },
    {
        queue: "bulk",
        customers: CUSTOMERS,
        meanGapMs: 2_000,
        burst: 1,
        tasks: 39,
        runMs: 5_200,
        cores: 11,
        accelerators: [1],
        gang: false,
        checkpoints: false,
    },
];

/** Creates a configuration in which the guarantees of four customers cover most of the fleet. */
function createConfiguration(): FleetConfiguration {
    const configuration = createTestConfiguration();
    return {
        ...configuration,
        queues: configuration.queues.map(queue =>
            queue.name === "urgent" as QueueName ? { ...queue, stretch: 1.5, objectiveMs: 250 } : queue
        ),
        customers: CUSTOMERS.map(name => ({ name, keys: [], guaranteedAccelerators: GUARANTEE })),
    };
}

function countInTime(jobs: readonly ReplayedJob[], queue: string): number {
    return jobs.filter(({ load, endedAt, objectiveMs }) =>
        load.queue === queue && endedAt - load.arrivalMs <= objectiveMs
    ).length;
}

/** Returns whether a guarantee covers all urgent jobs of a customer from the arrival of one of them to its start. */
function isCovered(job: ReplayedJob, jobs: readonly ReplayedJob[]): boolean {
    const unfinished = jobs.filter(other =>
        other.load.queue === "urgent" && other.load.customer === job.load.customer
        && other.load.arrivalMs <= Math.max(job.startedAt, job.load.arrivalMs + RECLAIM_BOUND_MS)
        && other.endedAt >= job.load.arrivalMs
    );
    const needed = unfinished.map(({ load: { spec } }) => spec.taskCount! * spec.request!.accelerators!);
    return needed.reduce((sum, accelerators) => sum + accelerators, 0) <= GUARANTEE;
}

// A few seeds a step: all of them take longer than a step may on a busy machine.
When(
    "the bursts of urgent gangs of the seeds {int} to {int} are replayed over a full fleet",
    async function(this: TestWorld, first: number, last: number) {
        const relativeRunTimes = Array.from({ length: WORKERS }, (_, number) => [0.6, 1, 1.65][number % 3]!);
        const replays = [...this.note<readonly ReplayedLoad[] | undefined>("replays") ?? []];
        for (let seed = first; seed <= last; seed++) {
            const load = generateLoad(BURSTS, DURATION_MS, seed * SEED_FACTOR);
            const options = { configuration: createConfiguration(), relativeRunTimes, drainMs: DRAIN_MS };
            replays.push(await replayLoad(load, options));
        }
        this.notes.set("replays", replays);
    },
);

Then(
    "fewer core-seconds are lost than the {int} of the code before",
    function(this: TestWorld, before: number) {
        const replays = this.note<readonly ReplayedLoad[]>("replays");
        const lost = replays.reduce((sum, { lostCoreSeconds }) => sum + lostCoreSeconds, 0);
        assert.ok(lost < before, `${lost} core-seconds`);
    },
);

Then(
    "more {word} jobs end in time than the {int} of the code before",
    function(this: TestWorld, queue: string, before: number) {
        const replays = this.note<readonly ReplayedLoad[]>("replays");
        const inTime = replays.reduce((sum, { jobs }) => sum + countInTime(jobs, queue), 0);
        assert.ok(inTime > before, `${inTime} jobs`);
    },
);

Then("each covered urgent job starts within the bound", function(this: TestWorld) {
    for (const { jobs } of this.note<readonly ReplayedLoad[]>("replays")) {
        const covered = jobs.filter(job => job.load.queue === "urgent" && isCovered(job, jobs));
        const waits = covered.map(({ load, startedAt }) => startedAt - load.arrivalMs);
        assert.ok(waits.length > 0 && Math.max(...waits) <= RECLAIM_BOUND_MS, `${Math.max(...waits)} ms`);
    }
});
