import type { JobId, WorkerId } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import { OWNER_LEASE_TTL_MS } from "../../packages/scheduler/src/constants.js";
import { createRandom } from "./createRandom.js";
import type { Term } from "./SchedulerTestHarness.js";
import { SchedulerTestHarness } from "./SchedulerTestHarness.js";

/** Outcome of a soak. */
export type SoakOutcome = {
    /** Tasks of which two runs were running at the same time. */
    readonly overlappingTasks: readonly string[];
    /** Jobs of which a task neither ran nor was done after all faults had ended. */
    readonly stuckJobs: readonly JobId[];
    readonly terms: number;
    readonly starts: number;
};

/** Faults that a soak plays beside deaths of owners and lost orders. */
export type SoakFaults =
    /** Owners are suspended, and replaced while they live. */
    | "suspended-owners"
    /** Workers restart under their ids and lose the answers to holds. */
    | "restarted-workers";

const WORKER_COUNT = 4;
const FAULTY_STEPS = 80;
const MAX_STEP_MS = 1_200;
const RECOVERY_STEP_MS = 500;
const RECOVERY_MS = 25_000;
const ORDER_FAULTS = ["lost-answer", "late", "refused"] as const;

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
    for (let step = 0; step < FAULTY_STEPS; step++) {
        chooseAction(harness, jobs, random, faults);
        if (canBeReplaced(harness, random)) {
            if (faults === "restarted-workers") {
                harness.killOwner();
            }
            await harness.beginTerm(chooseWorkers(harness, random));
        }
        await harness.advance(Math.ceil(random() * MAX_STEP_MS));
        resignOverdueOwners(harness);
    }
    await recover(harness);
    const outcome = {
        overlappingTasks: [...harness.overlappingTasks],
        stuckJobs: jobs.filter(id => harness.stateOf(id) !== "completed" && !runsWhole(harness, id)),
        terms: harness.terms.length,
        starts: [...harness.workers.values()].reduce((sum, worker) => sum + worker.starts.length, 0),
    };
    harness.terms.forEach(term => term.end.abort());
    return outcome;
}

function choose<T>(values: readonly T[], random: () => number): T {
    return values[Math.floor(random() * values.length)]!;
}

function chooseWorkers(harness: SchedulerTestHarness, random: () => number): readonly WorkerId[] {
    return [...harness.workers.keys()].filter(() => random() < 0.3);
}

function chooseAction(
    harness: SchedulerTestHarness,
    jobs: JobId[],
    random: () => number,
    faults: SoakFaults,
): void {
    const worker = choose([...harness.workers.values()], random);
    const term = choose(harness.terms.slice(-3), random);
    const action = random();
    if (action < 0.25) {
        const steps = [{
            taskCount: 2,
            request: { cpuMillis: 100, memoryMb: 100, accelerators: 0 },
            lasting: random() < 0.5,
        }];
        const id = harness.submit("normal", "ana", steps, { withoutTerm: random() < 0.3 });
        jobs.push(id);
        if (random() < 0.5) {
            harness.announce(id, term);
        }
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
        beginFault(faults, worker, term, random);
    }
    else if (action < 0.8) {
        continueFault(faults, worker, term);
    }
    else if (action < 0.96) {
        endSomeRun(worker, random);
    }
    else {
        harness.killOwner();
    }
}

function beginFault(faults: SoakFaults, worker: FakeWorker, term: Term, random: () => number): void {
    switch (faults) {
        case "suspended-owners":
            term.clock.suspend(random() < 0.5);
            return;
        case "restarted-workers":
            worker.restart();
    }
}

function continueFault(faults: SoakFaults, worker: FakeWorker, term: Term): void {
    switch (faults) {
        case "suspended-owners":
            term.clock.resume();
            return;
        case "restarted-workers":
            worker.unansweredHoldCount += 1;
            worker.register();
    }
}

function endSomeRun(
    worker: { running: ReadonlyMap<string, unknown>; endRun: (task: string, how: "done" | "failed") => void },
    random: () => number,
): void {
    const task = [...worker.running.keys()][0];
    if (task !== undefined) {
        worker.endRun(task, random() < 0.7 ? "done" : "failed");
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
