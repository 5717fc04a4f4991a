import type { JobId } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import type { Random } from "./createRandom.js";
import { choose, createRandom } from "./createRandom.js";
import { SchedulerTestHarness } from "./SchedulerTestHarness.js";

/** Outcome of a soak with capacities that change. */
export type CapacitySoakOutcome = {
    /** Tasks whose start brought a worker over a capacity that it had been listed with for `GRACE_MS`. */
    readonly startsOverCapacity: readonly string[];
    /** Tasks of which two runs were running at the same time. */
    readonly overlappingTasks: readonly string[];
    /** Jobs of which a task neither ran nor was done after all workers had their full capacity again. */
    readonly stuckJobs: readonly JobId[];
    /** Differences between what the owner counts as free and what the workers' runs leave, at the end. */
    readonly miscounts: readonly string[];
    readonly starts: number;
};

const WORKER_COUNT = 5;
const CHANGING_STEPS = 80;
const MAX_STEP_MS = 1_500;
const PROGRESS_STEP_MS = 250;
const RECOVERY_MS = 60_000;

/** Time after which a listed change of a capacity is known to the owner, in milliseconds. */
const GRACE_MS = 600;

const MAX_ACCELERATORS = 8;
const MAX_STOP_MS = 2_000;
const RUN_MS = 4_000;

/** Time in which the orders of a job are sent, in milliseconds. */
const ORDER_MS = 100;

/** Faults of orders; those that delay later orders the most are the most frequent. */
const ORDER_FAULTS = ["lost-answer", "late", "refused", "unanswered", "unanswered", "unanswered"] as const;
const MAX_TASKS = 12;
const MAX_FAULTS_IN_A_ROW = 12;
const QUEUES = ["urgent", "normal", "bulk"] as const;
const CUSTOMERS = ["ana", "bob"] as const;

type Soak = {
    readonly harness: SchedulerTestHarness;
    readonly random: Random;
    readonly jobs: JobId[];
    /** Time at which the capacity of a worker last shrank, in milliseconds. */
    readonly shrunkAt: Map<FakeWorker, number>;
    readonly startsOverCapacity: string[];
};

/**
 * Runs jobs while the capacities of workers shrink and grow, workers lose orders and restart, and owners die.
 *
 * @param seed - Seed of the choices.
 * @returns What went wrong, and how much was done.
 */
export async function soakCapacities(seed: number): Promise<CapacitySoakOutcome> {
    const harness = new SchedulerTestHarness();
    harness.addWorkers(WORKER_COUNT);
    await harness.beginTerm();
    const random = createRandom(seed);
    const soak: Soak = { harness, random, jobs: [], shrunkAt: new Map(), startsOverCapacity: [] };
    harness.workers.forEach(worker => {
        worker.stopDurationMs = random() < 0.5 ? 0 : random() * MAX_STOP_MS;
        worker.guardsCapacity = random() < 0.3;
    });
    for (let step = 0; step < CHANGING_STEPS; step++) {
        await chooseAction(soak);
        await passTime(soak, Math.ceil(random() * MAX_STEP_MS));
    }
    harness.workers.forEach(worker => {
        worker.orderFaults.splice(0);
        worker.executeDelayedOrders();
        changeCapacity(soak, worker, MAX_ACCELERATORS);
    });
    await passTime(soak, RECOVERY_MS);
    const outcome: CapacitySoakOutcome = {
        startsOverCapacity: soak.startsOverCapacity,
        overlappingTasks: [...harness.overlappingTasks],
        stuckJobs: soak.jobs.filter(id => !isSettled(harness, id)),
        miscounts: findMiscounts(harness),
        starts: [...harness.workers.values()].reduce((sum, worker) => sum + worker.starts.length, 0),
    };
    harness.terms.forEach(term => term.end.abort());
    return outcome;
}

async function chooseAction(soak: Soak): Promise<void> {
    const { harness, random } = soak;
    const worker = choose([...harness.workers.values()], random);
    const action = random();
    if (action < 0.25) {
        submitJob(soak);
    }
    else if (action < 0.5) {
        changeCapacity(soak, worker, chooseUpTo(MAX_ACCELERATORS, random));
    }
    else if (action < 0.7) {
        const fault = choose(ORDER_FAULTS, random);
        const count = 1 + chooseUpTo(MAX_FAULTS_IN_A_ROW - 1, random);
        worker.orderFaults.push(...Array.from({ length: count }, () => fault));
        submitJob(soak);
        await passTime(soak, ORDER_MS);
        changeCapacity(soak, worker, chooseUpTo(MAX_ACCELERATORS, random));
    }
    else if (action < 0.75) {
        worker.executeDelayedOrders();
    }
    else if (action < 0.9) {
        endSomeRun(worker, random);
    }
    else if (action < 0.94) {
        worker.restart();
        changeCapacity(soak, worker, chooseUpTo(MAX_ACCELERATORS, random));
        worker.register();
    }
    else if (action < 0.97) {
        soak.jobs.slice(chooseUpTo(soak.jobs.length, random)).slice(0, 1).forEach(id => harness.cancel(id));
    }
    else {
        harness.killOwner();
        await passTime(soak, 500);
        await harness.beginTerm();
    }
}

function submitJob({ harness, random, jobs }: Soak): void {
    const gang = random() < 0.3;
    const step = {
        taskCount: 1 + chooseUpTo(MAX_TASKS - 1, random),
        request: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 1 + chooseUpTo(1, random) },
        estimatedMs: 3_000,
        gang,
        sameRack: gang && random() < 0.5,
        checkpoints: random() < 0.5,
    };
    jobs.push(harness.submit(choose(QUEUES, random), choose(CUSTOMERS, random), [step]));
}

function changeCapacity({ harness, shrunkAt }: Soak, worker: FakeWorker, accelerators: number): void {
    if (accelerators < worker.capacity.accelerators) {
        shrunkAt.set(worker, harness.clock.now);
    }
    worker.capacity = { ...worker.capacity, accelerators };
}

function endSomeRun(worker: FakeWorker, random: Random): void {
    const [name] = worker.running.keys();
    if (name !== undefined) {
        worker.endRun(name, random() < 0.9 ? "done" : "failed");
    }
}

/** Chooses an integer from 0 to a maximum. */
function chooseUpTo(max: number, random: Random): number {
    return Math.floor(random() * (max + 1));
}

/** Lets time pass while all runs make progress, and collects the starts over a capacity that was known. */
async function passTime({ harness, shrunkAt, startsOverCapacity }: Soak, durationMs: number): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += PROGRESS_STEP_MS) {
        harness.workers.forEach(worker => worker.running.forEach(run => run.percent += 1));
        const knownSince = harness.clock.now - GRACE_MS;
        await harness.advance(Math.min(PROGRESS_STEP_MS, durationMs - passedMs));
        for (const worker of harness.workers.values()) {
            const tasks = worker.startsOverCapacity.splice(0);
            if ((shrunkAt.get(worker) ?? 0) <= knownSince) {
                startsOverCapacity.push(...tasks);
            }
            endFinishedRuns(harness, worker);
        }
    }
}

function endFinishedRuns(harness: SchedulerTestHarness, worker: FakeWorker): void {
    for (const [name, run] of worker.running) {
        if (harness.clock.now - run.startedAt > RUN_MS) {
            worker.endRun(name, "done");
        }
    }
}

function isSettled(harness: SchedulerTestHarness, id: JobId): boolean {
    const entry = harness.terms.at(-1)!.scheduler.jobs.get(id);
    return entry !== undefined && (["completed", "failed", "cancelled"].includes(harness.stateOf(id))
        || [...entry.occurrences.values()].flat().flatMap(step => step.tasks).every(task =>
            task.done || task.runs.length > 0
        ));
}

function findMiscounts(harness: SchedulerTestHarness): readonly string[] {
    return [...harness.terms.at(-1)!.scheduler.fleet.values()].flatMap(entry => {
        const used = [...entry.runs].reduce(
            (sum, { task }) => sum + (task.step.spec.request?.accelerators ?? 0),
            0,
        );
        const free = entry.capacity.accelerators - used;
        return free === entry.free.accelerators
            ? []
            : [`${entry.id}: ${entry.free.accelerators}, not ${free}`];
    });
}
