import type { JobId, RunEndKind, WorkerId } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import { OWNER_LEASE_TTL_MS } from "../../packages/scheduler/src/constants.js";
import { choose, createRandom } from "./createRandom.js";
import type { Term } from "./SchedulerTestHarness.js";
import { SchedulerTestHarness } from "./SchedulerTestHarness.js";
import { FailedRuns } from "./takeovers/FailedRuns.js";
import { ATTEMPTS, createConfigurations, submitVariedJob } from "./takeovers/variedJobs.js";

/** Outcome of a soak. */
export type SoakOutcome = {
    /** Tasks of which two runs were running at the same time. */
    readonly overlappingTasks: readonly string[];
    /** Jobs of which a task neither ran nor was done after all faults had ended. */
    readonly stuckJobs: readonly JobId[];
    /** Jobs that were shown as failed before any of their tasks had failed as often as their queue allows. */
    readonly earlyFailures: readonly JobId[];
    /** Number of jobs that were shown as failed. */
    readonly failedJobs: number;
    readonly terms: number;
    readonly starts: number;
};

/** Faults that a soak plays beside deaths of owners and lost orders. */
export type SoakFaults =
    /** Owners are suspended, and replaced while they live. */
    | "suspended-owners"
    /** Workers restart under their ids and lose the answers to holds. */
    | "restarted-workers"
    /** Runs of gangs, copies and schedules end in all ways while owners, answers, writes and queues come and go. */
    | "failed-runs";

const WORKER_COUNT = 4;
const FAULTY_STEPS = 80;
const MAX_STEP_MS = 1_200;
const RECOVERY_STEP_MS = 500;
const RECOVERY_MS = 25_000;
const ORDER_FAULTS = ["lost-answer", "late", "refused"] as const;
const WRITE_FAULTS = ["lost-answer", "late", "refused"] as const;
const END_KINDS = ["failed", "failed", "failed", "done", "stopped", "lapsed", "broken", "alone"] as const;

/** What a soak plays with. */
type Soak = {
    readonly harness: SchedulerTestHarness;
    readonly random: () => number;
    readonly faults: SoakFaults;
    readonly jobs: JobId[];
    readonly failedRuns: FailedRuns;
};

/**
 * Runs jobs while owners die or are replaced and lose workers, and workers lose orders.
 *
 * @param seed - Seed of the choices.
 * @param faults - Further faults to play.
 * @returns What went wrong, and how much was done.
 */
export async function soakTakeovers(seed: number, faults: SoakFaults): Promise<SoakOutcome> {
    const random = createRandom(seed);
    const harness = new SchedulerTestHarness();
    harness.workerClockRate = random() < 0.5 ? 1 : 0.98;
    harness.addWorkers(WORKER_COUNT);
    await harness.beginTerm();
    const jobs: JobId[] = [];
    const failedRuns = new FailedRuns(harness, faults === "failed-runs" ? ATTEMPTS : 2);
    const soak = { harness, random, faults, jobs, failedRuns };
    for (let step = 0; step < FAULTY_STEPS; step++) {
        chooseAction(soak);
        if (canBeReplaced(harness, random)) {
            if (faults === "restarted-workers") {
                harness.killOwner();
            }
            await harness.beginTerm(chooseWorkers(harness, random));
        }
        await harness.advance(Math.ceil(random() * MAX_STEP_MS));
        resignOverdueOwners(harness);
        failedRuns.check(jobs);
    }
    await recover(harness);
    failedRuns.check(jobs);
    const outcome = {
        overlappingTasks: [...harness.overlappingTasks],
        stuckJobs: jobs.filter(id => harness.stateOf(id) !== "completed" && !runsWhole(harness, id)),
        earlyFailures: [...failedRuns.earlyFailures],
        failedJobs: failedRuns.failedJobs.size,
        terms: harness.terms.length,
        starts: [...harness.workers.values()].reduce((sum, worker) => sum + worker.starts.length, 0),
    };
    harness.terms.forEach(term => term.end.abort());
    return outcome;
}

function chooseWorkers(harness: SchedulerTestHarness, random: () => number): readonly WorkerId[] {
    return [...harness.workers.keys()].filter(() => random() < 0.3);
}

function chooseAction(soak: Soak): void {
    const { harness, random, faults } = soak;
    const worker = choose([...harness.workers.values()], random);
    const term = choose(harness.terms.slice(-3), random);
    const action = random();
    if (action < 0.25) {
        submitJob(soak, term);
    }
    else if (action < 0.4) {
        worker.orderFaults.push(choose(ORDER_FAULTS, random));
    }
    else if (action < 0.5) {
        worker.executeDelayedOrders();
    }
    else if (action < 0.6) {
        term.unreachableWorkers.add(worker.id);
    }
    else if (action < 0.62) {
        term.unreachableWorkers.clear();
    }
    else if (action < 0.72) {
        beginFault(soak, worker, term);
    }
    else if (action < 0.8) {
        continueFault(soak, worker, term);
    }
    else if (action < 0.96) {
        endSomeRun(soak, worker, () => random() < 0.7 ? "done" : "failed");
    }
    else {
        harness.killOwner();
    }
    if (faults === "failed-runs") {
        harness.workers.forEach(other => endSomeRun(soak, other, () => choose(END_KINDS, random)));
    }
}

function submitJob({ harness, random, faults, jobs }: Soak, term: Term): void {
    const id = faults === "failed-runs" ? submitVariedJob(harness, random) : submitPlainJob(harness, random);
    jobs.push(id);
    if (random() < 0.5) {
        harness.announce(id, term);
    }
}

function submitPlainJob(harness: SchedulerTestHarness, random: () => number): JobId {
    const steps = [{
        taskCount: 2,
        request: { cpuMillis: 100, memoryMb: 100, accelerators: 0 },
        lasting: random() < 0.5,
    }];
    return harness.submit("normal", "ana", steps, { withoutTerm: random() < 0.3 });
}

function beginFault({ harness, random, faults }: Soak, worker: FakeWorker, term: Term): void {
    switch (faults) {
        case "suspended-owners":
            term.clock.suspend(random() < 0.5);
            return;
        case "restarted-workers":
            worker.restart();
            return;
        case "failed-runs":
            harness.configuration = choose(createConfigurations(), random);
            harness.store.writeFaults.push(choose(WRITE_FAULTS, random));
            worker.unansweredHoldCount += 1;
            if (random() < 0.3) {
                term.clock.suspend(random() < 0.5);
            }
    }
}

function continueFault({ harness, faults }: Soak, worker: FakeWorker, term: Term): void {
    switch (faults) {
        case "suspended-owners":
            term.clock.resume();
            return;
        case "restarted-workers":
            worker.unansweredHoldCount += 1;
            worker.register();
            return;
        case "failed-runs":
            term.clock.resume();
            harness.store.applyDelayedTransactions();
            harness.configuration = createConfigurations()[0]!;
    }
}

function endSomeRun({ failedRuns }: Soak, worker: FakeWorker, chooseEnd: () => RunEndKind): void {
    const [name, running] = [...worker.running][0] ?? [];
    if (name !== undefined && running !== undefined) {
        const how = chooseEnd();
        if (how === "failed") {
            failedRuns.add(running.task, running.run);
        }
        worker.endRun(name, how);
    }
}

/** An owner is replaced once its lease has ended; at times a peer ends the lease of one that lives. */
function canBeReplaced(harness: SchedulerTestHarness, random: () => number): boolean {
    const term = harness.terms.at(-1)!;
    const isOverdue = harness.clock.now - term.lease.renewedAt > OWNER_LEASE_TTL_MS;
    return isOverdue || random() < 0.03;
}

/** A replaced owner that does not reach the store resigns when its lease is overdue by its own clock. */
function resignOverdueOwners(harness: SchedulerTestHarness): void {
    for (const { clock, scheduler, lease } of harness.terms.slice(0, -1)) {
        if (!clock.isSuspended && clock.now - lease.heldAt > OWNER_LEASE_TTL_MS) {
            scheduler.ownership.resign("The store lease could not be renewed in time.");
        }
    }
}

/** Ends all faults, and lets the jobs go on under a new owner. */
async function recover(harness: SchedulerTestHarness): Promise<void> {
    harness.workers.forEach(worker => {
        worker.orderFaults.splice(0);
        worker.unansweredHoldCount = 0;
        worker.register();
        worker.executeDelayedOrders();
    });
    harness.terms.forEach(term => term.clock.resume());
    await harness.beginTerm();
    for (let passedMs = 0; passedMs < RECOVERY_MS; passedMs += RECOVERY_STEP_MS) {
        harness.workers.forEach(worker => worker.running.forEach(run => run.percent += 1));
        await harness.advance(RECOVERY_STEP_MS);
        resignOverdueOwners(harness);
    }
}

function runsWhole(harness: SchedulerTestHarness, id: JobId): boolean {
    const entry = harness.terms.at(-1)!.scheduler.jobs.get(id);
    return entry !== undefined && (harness.stateOf(id) === "failed"
        || [...entry.occurrences.values()].flat().flatMap(step => step.tasks).every(task =>
            task.done || task.runs.length > 0
        ));
}
