import type { JobId } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import { OWNER_LEASE_TTL_MS } from "../../../packages/scheduler/src/constants.js";
import type { Random } from "../createRandom.js";
import { choose, createRandom } from "../createRandom.js";
import { SchedulerTestHarness } from "../SchedulerTestHarness.js";
import { CrashRecorder } from "./CrashRecorder.js";

/** Outcome of a soak. */
export type CrashSoakOutcome = {
    /** Number of starts of the guilty task after the third crash under it, and of all its starts. */
    readonly startsAfterThirdCrash: number;
    readonly starts: number;
    readonly crashes: number;
    /** Final state of the job with the guilty task. */
    readonly guiltyState: string;
    /** Other jobs that are shown as failed, with the highest number of crashes under one of their tasks. */
    readonly failedBystanders: readonly string[];
    /** Other jobs that do not last and are not completed at the end. */
    readonly unfinishedBystanders: readonly JobId[];
    readonly terms: number;
};

/** Faults that a soak plays beside the crashes of a guilty task. */
export type CrashSoakFaults =
    /** Single workers crash for other causes. */
    | "stray-crashes"
    /** Many workers crash at once, three times. */
    | "power-cuts"
    /** Single workers crash, and two owners die, mostly while the guilty task runs. */
    | "takeovers";

type Soak = {
    readonly harness: SchedulerTestHarness;
    readonly recorder: CrashRecorder;
    readonly random: Random;
    readonly faults: CrashSoakFaults;
    readonly guilty: JobId;
    readonly bystanders: JobId[];
    /** Time at which the next owner takes over, while there is none. */
    takeoverAt: number | undefined;
};

const STEP_MS = 250;
const FAULTY_MS = 45_000;
const SETTLING_MS = 20_000;
const RECOVERY_MS = 40_000;
const POWER_CUT_INTERVAL_MS = 12_000;
const POWER_CUT_WORKER_SHARE = 0.6;
const MAX_STRAY_CRASHES = 4;
const MAX_TAKEOVERS = 2;
const GUILTY_KINDS = ["single", "gang", "lasting", "copies"] as const;

/**
 * Runs jobs beside a task that crashes each worker that starts it.
 *
 * @param seed - Seed of the choices.
 * @param faults - Further faults to play.
 * @returns How often the task was started, and what became of the other jobs.
 */
export async function soakCrashes(seed: number, faults: CrashSoakFaults): Promise<CrashSoakOutcome> {
    const random = createRandom(seed);
    const harness = new SchedulerTestHarness();
    harness.addWorkers(5 + Math.floor(random() * 8));
    const mayReplace = random() < 0.3;
    const recorder = new CrashRecorder(harness, () => mayReplace && random() < 0.7);
    await harness.beginTerm();
    const guilty = submitGuilty(harness, recorder, random);
    const soak: Soak = { harness, recorder, random, faults, guilty, bystanders: [], takeoverAt: undefined };
    let strayCrashes = 0;
    let nextPowerCutAt = harness.clock.now + random() * POWER_CUT_INTERVAL_MS;
    let powerCuts = 0;
    const endAt = harness.clock.now + FAULTY_MS;
    while (harness.clock.now < endAt) {
        if (random() < 0.12) {
            submitBystander(soak);
        }
        if (faults === "power-cuts" && powerCuts < 3 && harness.clock.now >= nextPowerCutAt) {
            powerCuts += 1;
            nextPowerCutAt = harness.clock.now + POWER_CUT_INTERVAL_MS;
            listUpWorkers(harness).filter(() => random() < POWER_CUT_WORKER_SHARE)
                .forEach(worker => crash(worker, random));
        }
        if (faults !== "power-cuts" && strayCrashes < MAX_STRAY_CRASHES && random() < 0.03) {
            strayCrashes += 1;
            crash(choose(listUpWorkers(harness), random), random);
        }
        flap(soak);
        await continueOwnership(soak);
        await advanceSoak(soak);
    }
    harness.workers.forEach(worker => worker.isDisconnected = false);
    if (soak.takeoverAt !== undefined) {
        await advance(soak, OWNER_LEASE_TTL_MS);
        await harness.beginTerm();
    }
    await advance(soak, SETTLING_MS);
    // Lasting jobs would take the room that the others need to end.
    const failedBystanders = listFailedBystanders(soak);
    soak.bystanders.filter(id => isLasting(harness, id)).forEach(id => harness.cancel(id));
    await advance(soak, RECOVERY_MS);
    const outcome = describeOutcome(soak, [...new Set([...failedBystanders, ...listFailedBystanders(soak)])]);
    harness.terms.forEach(term => term.end.abort());
    return outcome;
}

function listUpWorkers({ workers }: SchedulerTestHarness): readonly FakeWorker[] {
    return [...workers.values()].filter(worker => !worker.isDown);
}

function crash(worker: FakeWorker | undefined, random: Random): void {
    if (worker !== undefined) {
        worker.downtimeMs = 1_000 + random() * 4_000;
        worker.crash();
    }
}

function submitGuilty(harness: SchedulerTestHarness, recorder: CrashRecorder, random: Random): JobId {
    const kind = choose(GUILTY_KINDS, random);
    const taskCount = kind === "gang" ? 2 + Math.floor(random() * 2) : 1;
    const id = harness.submit("normal", "bob", [{
        taskCount,
        request: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 + Math.floor(random() * 6) },
        estimatedMs: 2_000,
        gang: kind === "gang",
        lasting: kind === "lasting",
        copiesAllowed: kind === "copies",
    }]);
    const delayMs = random() < 0.2 ? 0 : random() * (kind === "copies" ? 9_000 : 3_500);
    harness.deadlyTasks.set(`${id}.0.0.${taskCount - 1}`, delayMs);
    if (kind === "gang") {
        recorder.gangJobs.add(id);
    }
    return id;
}

function submitBystander({ harness, recorder, random, bystanders }: Soak): void {
    const isGang = random() < 0.2;
    const id = harness.submit("normal", "ana", [{
        taskCount: 1 + Math.floor(random() * (isGang ? 4 : 10)),
        request: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 + Math.floor(random() * 4) },
        estimatedMs: 3_000,
        gang: isGang,
        lasting: !isGang && random() < 0.05,
    }]);
    bystanders.push(id);
    if (isGang) {
        recorder.gangJobs.add(id);
    }
}

/** Cuts a worker off for a while, at times for longer than its lease, or connects it again. */
function flap({ harness, random }: Soak): void {
    for (const worker of harness.workers.values()) {
        if (worker.isDisconnected ? random() < 0.06 : random() < 0.002) {
            worker.isDisconnected = !worker.isDisconnected;
        }
    }
}

/** Ends the owner at times, and begins the next term once the lease in the store has ended. */
async function continueOwnership(soak: Soak): Promise<void> {
    const { harness, random, faults } = soak;
    if (soak.takeoverAt !== undefined) {
        if (harness.clock.now >= soak.takeoverAt) {
            soak.takeoverAt = undefined;
            await harness.beginTerm();
        }
        return;
    }
    if (faults !== "takeovers" || harness.terms.length > MAX_TAKEOVERS) {
        return;
    }
    const isGuiltyRunning = [...harness.deadlyTasks.keys()].some(task =>
        harness.workerOf(task) !== undefined
    );
    if (random() < (isGuiltyRunning ? 0.15 : 0.01)) {
        harness.killOwner();
        soak.takeoverAt = harness.clock.now + OWNER_LEASE_TTL_MS;
    }
}

async function advance(soak: Soak, ms: number): Promise<void> {
    for (let passedMs = 0; passedMs < ms; passedMs += STEP_MS) {
        await advanceSoak(soak);
    }
}

/** Advances the clock; runs end after a time that depends on their task, and gangs end as a whole. */
async function advanceSoak({ harness, recorder, guilty }: Soak): Promise<void> {
    const { workers, clock } = harness;
    for (const worker of workers.values()) {
        for (const [name, run] of worker.running) {
            run.percent = Math.min(99, run.percent + 1);
            const durationMs = 1_000 + 1_000 * (Number.parseInt(run.task.job, 16) % 5);
            if (run.task.job === guilty || clock.now - run.startedAt < durationMs) {
                continue;
            }
            if (recorder.gangJobs.has(run.task.job)) {
                endGangIfWhole(harness, run.task.job, run.run);
            }
            else if (!isLasting(harness, run.task.job)) {
                worker.endRun(name, "done");
            }
        }
    }
    await recorder.advance(STEP_MS, 50);
}

function isLasting({ terms }: SchedulerTestHarness, job: JobId): boolean {
    return terms.some(({ scheduler }) => scheduler.jobs.get(job)?.job.steps[0]?.lasting === true);
}

function endGangIfWhole({ workers, terms }: SchedulerTestHarness, job: JobId, run: number): void {
    const members = [...workers.values()].flatMap(worker =>
        [...worker.running].filter(([, { task, run: number }]) => task.job === job && number === run)
            .map(([name]) => ({ worker, name }))
    );
    const size = terms.map(({ scheduler }) => scheduler.jobs.get(job)?.job.steps[0]?.taskCount).find(Boolean);
    if (members.length === size) {
        members.forEach(({ worker, name }) => worker.endRun(name, "done"));
    }
}

/** Lists the other jobs that are shown as failed, each with the most crashes under one of its tasks. */
function listFailedBystanders({ harness, recorder, bystanders }: Soak): readonly string[] {
    const countMostCrashes = (id: JobId): number =>
        Math.max(
            ...recorder.startedTasks.filter(task => task.startsWith(id)).map(task =>
                recorder.countCrashes(task)
            ),
        );
    return bystanders.filter(id => harness.stateOf(id) === "failed")
        .map(id => `${id} after ${countMostCrashes(id)} crashes under a task`);
}

function describeOutcome(
    { harness, recorder, guilty, bystanders }: Soak,
    failedBystanders: readonly string[],
): CrashSoakOutcome {
    const [task] = [...harness.deadlyTasks.keys()];
    return {
        startsAfterThirdCrash: recorder.countStartsAfterCrashes(task!, 3),
        starts: recorder.countStarts(task!),
        crashes: recorder.countCrashes(task!),
        guiltyState: harness.stateOf(guilty),
        failedBystanders,
        unfinishedBystanders: bystanders.filter(id =>
            !isLasting(harness, id) && !["completed", "failed"].includes(harness.stateOf(id))
        ),
        terms: harness.terms.length,
    };
}
