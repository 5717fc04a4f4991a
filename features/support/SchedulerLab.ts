import type {
    AdviceOutcome,
    AdvisedStep,
    FleetConfiguration,
    HoldOutcome,
    JobId,
    MachineState,
    OrderOutcome,
    UpkeepOutcome,
    UpkeepWave,
    WorkerId,
    WorkerPort,
    WorkerReport,
} from "@balsamward/scheduler";
import { createMetrics } from "@balsamward/scheduler";
import { JobSchema, JobState, ScheduleSchema, StepSchema } from "@balsamward/schema/scheduling";
import type { Job, Step } from "@balsamward/schema/scheduling";
import { MemoryFleetStore, MemoryWorker } from "@balsamward/stand-ins";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create, toBinary } from "@bufbuild/protobuf";
import { setMaxListeners } from "node:events";
import winston from "winston";
import { createOwnerService } from "../../packages/scheduler/src/engine/createOwnerService.js";
import { createScheduler, runScheduler } from "../../packages/scheduler/src/engine/runScheduler.js";
import type { Ownership, Scheduler } from "../../packages/scheduler/src/engine/Scheduler.js";
import { storeKeys } from "../../packages/scheduler/src/storeKeys.js";
import { createLabConfiguration } from "./createLabConfiguration.js";
import { LogicalClock } from "./LogicalClock.js";

const WORKER_CPU_MILLIS = 32_000;
const WORKER_MEMORY_MB = 131_072;
const WORKER_ACCELERATORS = 8;
const MAX_HOLD_MS = 10_000;
const WORKERS_PER_RACK = 4;

/** A term of ownership that a test begins and ends. */
export type Term = { readonly scheduler: Scheduler; readonly end: AbortController; resignations: string[] };

/** A scheduler with a store and workers in memory, on a clock that only the test moves. */
export class SchedulerLab {
    readonly clock = new LogicalClock();
    readonly store = new MemoryFleetStore(() => this.clock.now);
    readonly workers = new Map<WorkerId, MemoryWorker>();
    /** Workers that the platform's list leaves out. */
    readonly unlisted = new Set<WorkerId>();
    /** Workers that the advice service does not allow. */
    readonly denied = new Set<WorkerId>();
    readonly adviceCalls: { readonly step: AdvisedStep; readonly workers: readonly WorkerId[] }[] = [];
    /** Machines by state. */
    readonly machines = new Map<string, MachineState>();
    /** Most machines that were down for upkeep at once. */
    mostDown = 0;
    /** Machines that went down while something ran there. */
    readonly wentDownBusy: string[] = [];
    readonly terms: Term[] = [];
    configuration: FleetConfiguration = createLabConfiguration();
    private jobCount = 0;

    /** Adds workers to the fleet, four to a rack. */
    addWorkers(count: number): void {
        for (let added = 0; added < count; added++) {
            const number = this.workers.size;
            const report: WorkerReport = {
                id: `w${number}` as WorkerId,
                address: `10.0.0.${number + 1}:80`,
                service: "service",
                dataCentre: "here",
                draining: false,
                remainingMs: 0,
                bornMs: 1,
                capacity: {
                    $typeName: "balsamward.scheduling.v1.Resources",
                    cpuMillis: WORKER_CPU_MILLIS,
                    memoryMb: WORKER_MEMORY_MB,
                    accelerators: WORKER_ACCELERATORS,
                },
                labels: ["a", `r${Math.floor(number / WORKERS_PER_RACK)}`],
                rack: `r${Math.floor(number / WORKERS_PER_RACK)}`,
                machine: `m${number}`,
            };
            this.machines.set(report.machine, "up");
            this.workers.set(report.id, new MemoryWorker(report, () => this.clock.now));
        }
    }

    /** Stores a job as a daemon does, and returns its id. */
    submit(
        queue: string,
        customer: string,
        steps: readonly MessageInitShape<typeof StepSchema>[],
        schedule?: MessageInitShape<typeof ScheduleSchema>,
    ): JobId {
        this.jobCount += 1;
        const id = this.jobCount.toString(16).padStart(16, "0");
        this.store.put(
            storeKeys.job(id),
            toBinary(JobSchema, this.jobOf(id, queue, customer, steps, schedule)),
        );
        return id as JobId;
    }

    /** Stores that a caller cancels a job. */
    cancel(id: JobId): void {
        this.store.put(storeKeys.cancellation(id), new Uint8Array());
    }

    /** Begins a term; the one before it goes on unless it is ended. */
    async begin(): Promise<Term> {
        const end = new AbortController();
        setMaxListeners(0, end.signal);
        const resignations: string[] = [];
        const ownership: Ownership = {
            key: storeKeys.owner,
            revision: this.store.put(storeKeys.owner, new Uint8Array([this.terms.length])),
            term: this.terms.length,
            signal: end.signal,
            resign: reason => {
                resignations.push(reason);
                end.abort();
            },
        };
        const scheduler = createScheduler({
            store: this.store.port(),
            workers: this.workerPort(),
            node: "lab",
            machines: {
                list: async () => [...this.machines].map(([name, state]) => ({ name, state })),
                beginUpkeep: async ({ machine }) => this.beginUpkeep(machine),
            },
            waveRecordFormat: {
                prefix: "waves/",
                decode: value => JSON.parse(Buffer.from(value).toString()) as UpkeepWave,
                statusKey: wave => `status/${wave}`,
                encodeStatus: state => Buffer.from(state),
            },
            advice: { advise: (step, workers) => this.advise(step, workers) },
            listWorkers: async () => this.listWorkers(),
            configuration: () => this.configuration,
            log: winston.createLogger({ silent: true }),
            metrics: createMetrics(),
            pause: this.clock.pause,
            clock: () => this.clock.now,
            wallClock: () => this.clock.now,
            bounds: { maxHoldMs: MAX_HOLD_MS, stateRetentionMs: 120_000 },
        }, ownership);
        const term = { scheduler, end, resignations };
        this.terms.push(term);
        void runScheduler(scheduler);
        await this.advance(100);
        return term;
    }

    /** Ends the newest term at once, as the death of its process does. */
    kill(): void {
        this.terms.at(-1)?.end.abort();
    }

    async advance(ms: number): Promise<void> {
        await this.clock.advance(ms);
    }

    /** Names the state of a job as the newest owner shows it. */
    stateOf(id: JobId): string {
        const known = createOwnerService(this.terms.at(-1)!.scheduler).describeJob(id);
        return known === undefined ? "unknown" : JobState[known.state].toLowerCase();
    }

    /** Returns the worker on which a task runs. */
    workerOf(task: string): MemoryWorker | undefined {
        return [...this.workers.values()].find(worker => worker.running.has(task));
    }

    /** Tasks that run, with their workers. */
    running(): readonly string[] {
        return [...this.workers.values()]
            .flatMap(worker =>
                [...worker.running].map(([task, { run }]) => `${task} run ${run} on ${worker.id}`)
            )
            .sort();
    }

    /** Takes a machine down; its next worker comes up after two seconds. */
    private beginUpkeep(machine: string): UpkeepOutcome {
        const worker = [...this.workers.values()].find(({ report }) => report.machine === machine);
        if (worker === undefined || this.machines.get(machine) !== "up") {
            return { kind: "busy" };
        }
        if (worker.running.size > 0) {
            this.wentDownBusy.push(machine);
        }
        this.machines.set(machine, "upkeep");
        this.workers.delete(worker.id);
        this.mostDown = Math.max(
            this.mostDown,
            [...this.machines.values()].filter(state => state === "upkeep").length,
        );
        void this.clock.pause(2_000).then(() => {
            this.machines.set(machine, "up");
            const report = { ...worker.report, id: `${worker.id}-next` as WorkerId };
            this.workers.set(report.id, new MemoryWorker(report, () => this.clock.now));
        });
        return { kind: "begun" };
    }

    /** Allows every worker but those that are denied, and notes the call. */
    private async advise(step: AdvisedStep, workers: readonly WorkerId[]): Promise<AdviceOutcome> {
        this.adviceCalls.push({ step, workers });
        const allowed = workers.filter(id => !this.denied.has(id)).map(worker => ({
            worker,
            ticket: `t-${worker}`,
        }));
        return { kind: "advised", allowed, validityMs: 3_000 };
    }

    private jobOf(
        id: string,
        queue: string,
        customer: string,
        steps: readonly MessageInitShape<typeof StepSchema>[],
        schedule: MessageInitShape<typeof ScheduleSchema> | undefined,
    ): Job {
        return create(JobSchema, {
            id,
            queue,
            customer,
            spec: "spec",
            steps: steps.map((step): Step => create(StepSchema, step)),
            acceptedAtMs: this.clock.now,
            ...(schedule === undefined ? {} : { schedule: create(ScheduleSchema, schedule) }),
        });
    }

    private listWorkers(): readonly WorkerReport[] {
        return [...this.workers.values()]
            .filter(worker => !this.unlisted.has(worker.id))
            .map(worker => ({
                ...worker.report,
                draining: worker.isDraining,
                remainingMs: worker.remainingMs,
            }));
    }

    private workerPort(): WorkerPort {
        const order = async (
            id: WorkerId,
            act: (worker: MemoryWorker) => OrderOutcome,
        ): Promise<OrderOutcome> => {
            const worker = this.workers.get(id);
            return worker === undefined ? { kind: "unreachable", cause: "gone" } : act(worker);
        };
        return {
            start: ({ id }, start) => order(id, worker => worker.start(start)),
            stop: ({ id }, stop) => order(id, worker => worker.stop(stop)),
            pace: ({ id }, pace) => order(id, worker => worker.pace(pace)),
            hold: async ({ id }, hold, signal): Promise<HoldOutcome> => {
                const worker = this.workers.get(id);
                if (worker === undefined) {
                    return { kind: "unreachable", cause: "gone" };
                }
                // A hold that waits is answered after a while, ends or not.
                await this.clock.pause(Math.min(hold.waitMs, 100), signal);
                return worker.hold(hold);
            },
            closeConnections: () => {},
        };
    }
}
