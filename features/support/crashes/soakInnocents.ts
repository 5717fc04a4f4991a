import { OWNER_LEASE_TTL_MS } from "../../../packages/scheduler/src/constants.js";
import type { Random } from "../createRandom.js";
import { createRandom } from "../createRandom.js";
import { SchedulerTestHarness } from "../SchedulerTestHarness.js";
import { CrashRecorder } from "./CrashRecorder.js";
import type { InnocentJob } from "./InnocentJobs.js";
import { InnocentJobs } from "./InnocentJobs.js";
import type { WorkerDisruption } from "./WorkerDisrupter.js";
import { WorkerDisrupter } from "./WorkerDisrupter.js";

/** Options of `soakInnocents`. */
export type InnocentSoakOptions = {
    /** Seed of the choices. */
    readonly seed: number;
    readonly disruption: WorkerDisruption;
    /** Whether up to three owners die while workers are disrupted. */
    readonly hasTakeovers: boolean;
};

/** Outcome of a soak. */
export type InnocentSoakOutcome = {
    /** Jobs that were shown as failed at any time, with their kinds and the crashes under their tasks. */
    readonly failedJobs: readonly string[];
    /** Jobs that do not last, are not shown as failed and are not completed at the end. */
    readonly unfinishedJobs: readonly string[];
    /** Tasks of jobs that last, are not shown as failed and do not run at the end. */
    readonly idleTasks: readonly string[];
    readonly workers: number;
    readonly jobs: number;
    /** Number of crashes under runs; one under several runs counts for each. */
    readonly crashes: number;
    /** Highest number of crashes under one task. */
    readonly mostCrashes: number;
    readonly terms: number;
};

type Soak = {
    readonly harness: SchedulerTestHarness;
    readonly recorder: CrashRecorder;
    readonly random: Random;
    readonly jobs: InnocentJobs;
    /** Jobs that were shown as failed. */
    readonly failed: Set<InnocentJob>;
    /** Number of owners that may still die. */
    takeoversLeft: number;
    /** Time at which the next owner takes over, while there is none. */
    takeoverAt: number | undefined;
};

/** Factor that sets the first choices of neighbouring seeds apart. */
const SEED_FACTOR = 747_796_405;

const STEP_MS = 250;
const DISRUPTED_MS = 60_000;
const SETTLING_MS = 90_000;
const MIN_WORKERS = 12;
const MAX_WORKERS = 40;
const MAX_TAKEOVERS = 3;
const TAKEOVER_PROBABILITY = 0.015;
const SUBMIT_PROBABILITY = 0.08;
const FIRST_JOBS = ["lasting", "plain", "wide", "gang", "copies"] as const;

/**
 * Runs jobs without a guilty task while workers crash for other causes.
 *
 * @param options - The seed and the disruptions.
 * @returns What became of the jobs.
 */
export async function soakInnocents(
    { seed, disruption, hasTakeovers }: InnocentSoakOptions,
): Promise<InnocentSoakOutcome> {
    const random = createRandom(Math.imul(seed, SEED_FACTOR));
    const harness = new SchedulerTestHarness();
    harness.addWorkers(MIN_WORKERS + Math.floor(random() * (MAX_WORKERS - MIN_WORKERS + 1)));
    const disrupter = new WorkerDisrupter(harness, disruption, random);
    const recorder = new CrashRecorder(harness, () => disrupter.isReplacing);
    await harness.beginTerm();
    const soak: Soak = {
        harness,
        recorder,
        random,
        jobs: new InnocentJobs(harness, recorder, random),
        failed: new Set(),
        takeoversLeft: hasTakeovers ? MAX_TAKEOVERS : 0,
        takeoverAt: undefined,
    };
    FIRST_JOBS.forEach(kind => soak.jobs.submit(kind));
    const endAt = harness.clock.now + DISRUPTED_MS;
    while (harness.clock.now < endAt) {
        if (random() < SUBMIT_PROBABILITY) {
            soak.jobs.submitSome();
        }
        disrupter.advance();
        await continueOwnership(soak);
        await advance(soak);
    }
    disrupter.end();
    soak.takeoversLeft = 0;
    for (let passedMs = 0; passedMs < SETTLING_MS; passedMs += STEP_MS) {
        await continueOwnership(soak);
        await advance(soak);
    }
    const outcome = describeOutcome(soak);
    harness.terms.forEach(term => term.end.abort());
    return outcome;
}

/** Ends the owner at times, and begins the next term once the lease in the store has ended. */
async function continueOwnership(soak: Soak): Promise<void> {
    const { harness, random } = soak;
    if (soak.takeoverAt !== undefined) {
        if (harness.clock.now >= soak.takeoverAt) {
            soak.takeoverAt = undefined;
            await harness.beginTerm();
        }
    }
    else if (soak.takeoversLeft > 0 && random() < TAKEOVER_PROBABILITY) {
        soak.takeoversLeft -= 1;
        harness.killOwner();
        soak.takeoverAt = harness.clock.now + OWNER_LEASE_TTL_MS;
    }
}

async function advance({ harness, recorder, jobs, failed }: Soak): Promise<void> {
    jobs.advanceRuns();
    await recorder.advance(STEP_MS, 50);
    jobs.jobs.filter(({ id }) => harness.stateOf(id) === "failed").forEach(job => failed.add(job));
}

function describeOutcome({ harness, recorder, jobs, failed }: Soak): InnocentSoakOutcome {
    const crashCounts = new Map(recorder.startedTasks.map(task => [task, recorder.countCrashes(task)]));
    const describe = ({ id, kind }: InnocentJob): string => {
        const counts = [...crashCounts].filter(([task]) => task.startsWith(id)).map(([, count]) => count);
        return `${id} (${kind}): ${counts.reduce((sum, count) => sum + count, 0)} crashes under its tasks, `
            + `${Math.max(0, ...counts)} under one`;
    };
    const others = jobs.jobs.filter(job => !failed.has(job));
    return {
        failedJobs: [...failed].map(describe),
        unfinishedJobs: others.filter(({ id, kind }) =>
            kind !== "lasting" && harness.stateOf(id) !== "completed"
        )
            .map(describe),
        idleTasks: others.filter(({ kind }) => kind === "lasting").flatMap(job => jobs.listIdleTasks(job)),
        workers: harness.workers.size,
        jobs: jobs.jobs.length,
        crashes: [...crashCounts.values()].reduce((sum, count) => sum + count, 0),
        mostCrashes: Math.max(0, ...crashCounts.values()),
        terms: harness.terms.length,
    };
}
