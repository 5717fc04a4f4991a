import type { JobId, WorkerId, WorkerReport } from "@balsamward/scheduler";
import { createMetrics } from "@balsamward/scheduler";
import { applyReports } from "@balsamward/scheduler/engine/fleet/watchFleet";
import { registerJob } from "@balsamward/scheduler/engine/jobs/registerJob";
import { applyRunEnd } from "@balsamward/scheduler/engine/runs/applyRunEnd";
import { createScheduler } from "@balsamward/scheduler/engine/runScheduler";
import type { Scheduler } from "@balsamward/scheduler/engine/Scheduler";
import { JobSchema } from "@balsamward/schema/scheduling";
import { FakeFleetStore } from "@balsamward/stand-ins";
import { create } from "@bufbuild/protobuf";
import { setMaxListeners } from "node:events";
import { setImmediate as turn } from "node:timers/promises";
import winston from "winston";
import { computeRunMs } from "./computeRunMs.js";
import {
    createOfflineConfiguration,
    getOfflineCustomer,
    OFFLINE_SERVICE,
} from "./createOfflineConfiguration.js";
import { createOfflineWorkers } from "./createOfflineWorkers.js";
import type { Execution } from "./createOfflineWorkers.js";
import type { TraceJob } from "./generateTrace.js";
import type { Workload } from "./Workload.js";

const ACCELERATORS_PER_WORKER = 8;

/** Number of workers in each rack but the last. */
export const WORKERS_PER_RACK = 20;

/** A scheduler with a fleet of offline workers, on a logical clock. */
export type OfflineFleet = {
    readonly scheduler: Scheduler;
    /** Submits a job now; its number, from 0, also is the order in which jobs were stored. */
    readonly submit: (job: TraceJob, number: number) => JobId;
    /** Delivers all orders that can be sent now. */
    readonly deliverOrders: () => Promise<void>;
    /** Sets the clock, in milliseconds, and applies the ends of runs until then. */
    readonly advanceTo: (time: number) => void;
    /** Advances the clock by a time in milliseconds, but applies no ends. */
    readonly advanceClock: (ms: number) => void;
    /** Returns when the next run ends, in milliseconds; infinity if none runs. */
    readonly findNextEnd: () => number;
    /** Returns the work of the runs that were stopped, in accelerator-milliseconds. */
    readonly sumStoppedWork: () => number;
};

/** Options of `createOfflineFleet`. */
export type CreateOfflineFleetOptions = {
    readonly workload: Workload;
    /** Number of workers, each with 8 accelerators, 20 in a rack. */
    readonly workerCount: number;
    /** Whether the scheduler knows the relative run times of the workers. */
    readonly knowsSpeeds: boolean;
};

/**
 * Creates a fleet that is scheduled without store, network and real time.
 *
 * @param options - The workload, the number of workers and what is known of them.
 * @returns The fleet, with all workers ready at time 0.
 */
export async function createOfflineFleet(options: CreateOfflineFleetOptions): Promise<OfflineFleet> {
    const { workload, workerCount, knowsSpeeds } = options;
    let now = 0;
    let endCount = 0;
    let stoppedWork = 0;
    const jobs = new Map<JobId, TraceJob>();
    const relativeRunTimes = new Map<string, number>();
    const workers = createOfflineWorkers({
        clock: () => now,
        getRunMs: order =>
            computeRunMs(
                { scheduler, jobs, getRelativeRunTime: ({ id }) => relativeRunTimes.get(id)! },
                order,
            ),
    });
    const scheduler = createOfflineScheduler(workers.port, workload, () => now);
    addWorkers(scheduler, workload, workerCount);
    [...scheduler.fleet.values()].forEach((worker, number) => {
        const relativeRunTime = workload.relativeRunTimes[number % workload.relativeRunTimes.length]!;
        relativeRunTimes.set(worker.id, relativeRunTime);
        worker.relativeRunTime = knowsSpeeds ? relativeRunTime : 1;
    });
    await turn();
    const applyEnd = ({ order, workerId, startedAt, isStopped }: Execution): void => {
        const { task, run } = order;
        const worker = scheduler.fleet.get(workerId as WorkerId)!;
        const step = scheduler.jobs.get(task.job)!.occurrences.get(task.occurrence)![task.step]!;
        endCount += 1;
        stoppedWork += isStopped ? (now - startedAt) * (step.spec.request?.accelerators ?? 0) : 0;
        applyRunEnd(scheduler, worker, {
            number: endCount,
            task,
            run,
            how: isStopped ? "stopped" : "done",
            checkpoint: "",
        });
    };
    return {
        scheduler,
        submit: (job, number) => {
            const id = number.toString(16).padStart(16, "0") as JobId;
            jobs.set(id, job);
            registerJob(scheduler, composeJob(id, job, now), number + 1);
            return id;
        },
        deliverOrders: () => turn(),
        advanceTo: time => {
            now = Math.max(now, time);
            workers.takeEnded().forEach(applyEnd);
        },
        advanceClock: ms => {
            now += ms;
        },
        findNextEnd: workers.findNextEnd,
        sumStoppedWork: () => stoppedWork,
    };
}

function composeJob(id: JobId, { kind, customer, steps }: TraceJob, now: number) {
    return create(JobSchema, {
        id,
        queue: kind,
        customer: getOfflineCustomer(customer),
        spec: "",
        steps: steps.map(({ spec }) => spec),
        acceptedAtMs: now,
        termRevision: 1,
    });
}

function createOfflineScheduler(
    workers: Scheduler["workers"],
    workload: Workload,
    clock: () => number,
): Scheduler {
    const { signal } = new AbortController();
    setMaxListeners(0, signal);
    const configuration = createOfflineConfiguration(workload);
    const scheduler = createScheduler({
        store: new FakeFleetStore(clock).createClient(),
        workers,
        node: "offline",
        advice: { advise: async () => ({ kind: "busy" }) },
        machines: { list: async () => undefined, beginUpkeep: async () => ({ kind: "busy" }) },
        waveRecordFormat: {
            prefix: "",
            decode: () => undefined,
            statusKey: () => "",
            encodeStatus: () => new Uint8Array(),
        },
        listWorkers: async () => undefined,
        configuration: () => configuration,
        evacuatedDataCentres: () => new Set(),
        readEvacuations: async () => true,
        log: winston.createLogger({ silent: true }),
        metrics: createMetrics(),
        pause: () => new Promise(() => {}),
        clock,
        wallClock: clock,
        machineWallClock: clock,
        bounds: { maxHoldMs: 10_000, stateRetentionMs: 120_000 },
    }, {
        key: "",
        revision: 1,
        term: 0,
        signal,
        heldAt: clock,
        resign: () => {},
    });
    scheduler.isLoaded = true;
    return scheduler;
}

function addWorkers(scheduler: Scheduler, workload: Workload, workerCount: number): void {
    const reports = Array.from({ length: workerCount }, (_, number) => composeReport(workload, number));
    scheduler.roster = new Map(reports.map(({ id, address }) => [id, address]));
    applyReports(scheduler, reports);
}

function composeReport(
    { cpuMillisPerWorker, memoryMbPerWorker }: Workload,
    number: number,
): WorkerReport {
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    return {
        id: `w${number}` as WorkerId,
        address: `w${number}`,
        service: OFFLINE_SERVICE,
        dataCentre: "",
        draining: false,
        remainingMs: 0,
        bornMs: 1,
        coldMs: 0,
        capacity: {
            $typeName: "balsamward.scheduling.v1.Resources",
            cpuMillis: cpuMillisPerWorker,
            memoryMb: memoryMbPerWorker,
            accelerators: ACCELERATORS_PER_WORKER,
        },
        labels: [rack],
        rack,
        machine: `m${number}`,
    };
}
