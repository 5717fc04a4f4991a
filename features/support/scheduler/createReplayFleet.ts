import type { FleetConfiguration, JobId, StartOrder, WorkerId, WorkerPort } from "@balsamward/scheduler";
import { createMetrics } from "@balsamward/scheduler";
import { FakeFleetStore } from "@balsamward/stand-ins";
import { setMaxListeners } from "node:events";
import winston from "winston";
import { applyReports } from "../../../packages/scheduler/src/engine/fleet/watchFleet.js";
import { registerJob } from "../../../packages/scheduler/src/engine/jobs/registerJob.js";
import { applyRunEnd } from "../../../packages/scheduler/src/engine/runs/applyRunEnd.js";
import { createScheduler } from "../../../packages/scheduler/src/engine/runScheduler.js";
import type { Scheduler } from "../../../packages/scheduler/src/engine/Scheduler.js";
import type { RunEndKind } from "../../../packages/scheduler/src/index.js";
import { createAcceptedJob } from "./createAcceptedJob.js";
import { createWorkerReport } from "./createWorkerReport.js";
import type { LoadJob } from "./LoadJob.js";

/** Time that a worker needs to stop a run, in milliseconds. */
const STOP_MS = 300;

/** Run time between two checkpoints, in milliseconds. */
const CHECKPOINT_MS = 2_000;

const WORKERS_PER_RACK = 8;

/** A run that a worker of the replay executes. */
type Execution = {
    readonly order: StartOrder;
    readonly workerId: WorkerId;
    readonly startedAt: number;
    endsAt: number;
    how: RunEndKind;
};

/** A scheduler and workers without processes, on a logical clock. */
export type ReplayFleet = {
    readonly scheduler: Scheduler;
    readonly submit: (job: LoadJob) => JobId;
    /** Sets the clock, in milliseconds, and applies the ends of runs until then. */
    readonly advanceTo: (time: number) => void;
    /** Work of stopped runs since their last checkpoint, by CPU cores, in core-seconds. */
    readonly sumLostWork: () => number;
    readonly countStops: () => number;
};

/** Options of `createReplayFleet`. */
export type CreateReplayFleetOptions = {
    readonly configuration: FleetConfiguration;
    /** Relative run times of the workers, each with 128 cores; eight are in a rack. */
    readonly relativeRunTimes: readonly number[];
};

/**
 * Creates a fleet that executes runs with checkpoints, in which a gang ends with its slowest member.
 *
 * @param options - The configuration and the workers.
 * @returns The fleet at time 0.
 */
export function createReplayFleet(
    { configuration, relativeRunTimes }: CreateReplayFleetOptions,
): ReplayFleet {
    let now = 0;
    let endCount = 0;
    let stopCount = 0;
    let lostCoreMs = 0;
    const loads = new Map<JobId, LoadJob>();
    const doneMs = new Map<string, number>();
    const executions = new Map<string, Execution>();
    const speedOf = (id: string): number => relativeRunTimes[Number(id.slice(1))]!;
    const port = createPort({
        clock: () => now,
        start: (id, order) => {
            const load = loads.get(order.task.job)!;
            const runMs = load.runTimesMs[order.task.index]! - (doneMs.get(keyOf(order, false)) ?? 0);
            const endsAt = now + runMs * speedOf(id);
            executions.set(keyOf(order, true), { order, workerId: id, startedAt: now, endsAt, how: "done" });
        },
        stop: order => {
            const execution = executions.get(keyOf(order, true));
            if (execution !== undefined) {
                Object.assign(execution, {
                    how: "stopped",
                    endsAt: Math.min(execution.endsAt, now + STOP_MS),
                });
            }
        },
    });
    const scheduler = createReplayScheduler(port, () => now, configuration);
    addWorkers(scheduler, relativeRunTimes);
    const applyEnd = ({ order, workerId, startedAt, how }: Execution): void => {
        executions.delete(keyOf(order, true));
        const { spec } = loads.get(order.task.job)!;
        if (how !== "done") {
            const ranMs = now - startedAt;
            const savedMs = spec.checkpoints === true ? ranMs - ranMs % CHECKPOINT_MS : 0;
            const key = keyOf(order, false);
            doneMs.set(key, (doneMs.get(key) ?? 0) + savedMs / speedOf(workerId));
            lostCoreMs += (ranMs - savedMs) * (spec.request?.cpuMillis ?? 0) / 1_000;
            stopCount += 1;
        }
        endCount += 1;
        applyRunEnd(scheduler, scheduler.fleet.get(workerId)!, {
            number: endCount,
            task: order.task,
            run: order.run,
            how,
            checkpoint: how === "done" || spec.checkpoints !== true ? "" : "saved",
        });
    };
    const isGang = ({ order }: Execution): boolean => loads.get(order.task.job)!.spec.gang === true;
    return {
        scheduler,
        submit: load => {
            const number = loads.size + 1;
            const id = number.toString(16).padStart(16, "0") as JobId;
            loads.set(id, load);
            const job = createAcceptedJob({
                id,
                queue: load.queue,
                customer: load.customer,
                steps: [load.spec],
                acceptedAtMs: now,
                termRevision: 1,
                configuration,
            });
            registerJob(scheduler, job, number);
            return id;
        },
        advanceTo: time => {
            now = time;
            for (const execution of executions.values()) {
                listEnding(execution, executions, { now, isGang }).forEach(applyEnd);
            }
        },
        sumLostWork: () => lostCoreMs / 1_000,
        countStops: () => stopCount,
    };
}

/** Lists the runs that end because a run is due: with a gang's member all members, which wait for the slowest. */
function listEnding(
    execution: Execution,
    executions: ReadonlyMap<string, Execution>,
    { now, isGang }: { readonly now: number; readonly isGang: (execution: Execution) => boolean },
): readonly Execution[] {
    if (execution.endsAt > now) {
        return [];
    }
    const others = isGang(execution)
        ? [...executions.values()].filter(other =>
            other !== execution && other.order.task.job === execution.order.task.job
        )
        : [];
    if (execution.how === "stopped") {
        others.forEach(other => other.how = "broken");
    }
    else if (others.some(other => other.endsAt > now)) {
        return [];
    }
    return [execution, ...others];
}

function addWorkers(scheduler: Scheduler, relativeRunTimes: readonly number[]): void {
    const reports = relativeRunTimes.map((_, number) => {
        const report = createWorkerReport(number);
        const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
        return { ...report, rack, capacity: { ...report.capacity, cpuMillis: 128_000, memoryMb: 512_000 } };
    });
    scheduler.roster = new Map(reports.map(({ id, address }) => [id, address]));
    applyReports(scheduler, reports);
    reports.forEach(({ id }, number) => {
        scheduler.fleet.get(id)!.relativeRunTime = relativeRunTimes[number]!;
    });
}

function keyOf({ task, run }: Pick<StartOrder, "task" | "run">, withRun: boolean): string {
    return `${task.job}.${task.index}${withRun ? `.${run}` : ""}`;
}

/** Creates workers that answer every order at once, and the first hold, which makes them known. */
function createPort({ clock, start, stop }: {
    readonly clock: () => number;
    readonly start: (id: WorkerId, order: StartOrder) => void;
    readonly stop: (order: Pick<StartOrder, "task" | "run">) => void;
}): WorkerPort {
    const answered = new Set<WorkerId>();
    return {
        start: async ({ id }, order) => {
            start(id, order);
            return { kind: "done", clockMs: clock() };
        },
        stop: async (_target, order) => {
            stop(order);
            return { kind: "done", clockMs: clock() };
        },
        pace: async () => ({ kind: "done", clockMs: clock() }),
        hold: async ({ id }) => {
            if (answered.has(id)) {
                return new Promise(() => {});
            }
            answered.add(id);
            return {
                kind: "held",
                answer: { clockMs: clock(), bornMs: 1, running: [], ended: [], listsAllEnds: true },
            };
        },
        closeConnections: () => {},
    };
}

function createReplayScheduler(
    workers: WorkerPort,
    clock: () => number,
    configuration: FleetConfiguration,
): Scheduler {
    const { signal } = new AbortController();
    setMaxListeners(0, signal);
    const scheduler = createScheduler({
        store: new FakeFleetStore(clock).createClient(),
        workers,
        node: "replay",
        advice: { advise: async () => ({ kind: "busy" }) },
        machines: { list: async () => undefined, beginUpkeep: async () => ({ kind: "busy" }) },
        waveRecordFormat: {
            prefix: "",
            decode: () => undefined,
            statusKey: () => "",
            encodeStatus: () => new Uint8Array(),
        },
        listWorkers: async () => undefined,
        evacuatedDataCentres: () => new Set(),
        readEvacuations: async () => true,
        configuration: () => configuration,
        log: winston.createLogger({ silent: true }),
        metrics: createMetrics(),
        pause: () => new Promise(() => {}),
        clock,
        wallClock: clock,
        machineWallClock: clock,
        bounds: { maxHoldMs: 10_000, stateRetentionMs: 120_000 },
    }, { key: "", revision: 1, term: 0, signal, heldAt: clock, resign: () => {} });
    scheduler.isLoaded = true;
    return scheduler;
}
