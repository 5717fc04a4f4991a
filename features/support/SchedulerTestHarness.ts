import type {
    AdviceOutcome,
    AdvisedStep,
    FleetConfiguration,
    JobId,
    UpkeepWave,
    WorkerId,
    WorkerReport,
} from "@balsamward/scheduler";
import { createMetrics } from "@balsamward/scheduler";
import { JobSchema, JobState } from "@balsamward/schema/scheduling";
import type { StepSchema } from "@balsamward/schema/scheduling";
import { FakeFleetStore, FakeWorker } from "@balsamward/stand-ins";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { setMaxListeners } from "node:events";
import winston from "winston";
import { createActiveEvacuations } from "../../packages/scheduler/src/cluster/createActiveEvacuations.js";
import { createOwnerService } from "../../packages/scheduler/src/engine/createOwnerService.js";
import { createScheduler, runScheduler } from "../../packages/scheduler/src/engine/runScheduler.js";
import type { Ownership } from "../../packages/scheduler/src/engine/Scheduler.js";
import { storeKeys } from "../../packages/scheduler/src/storeKeys.js";
import { createSuspendableStore } from "./createSuspendableStore.js";
import { createTestConfiguration } from "./createTestConfiguration.js";
import { FakeClock } from "./FakeClock.js";
import type { CreateAcceptedJobOptions } from "./scheduler/createAcceptedJob.js";
import { createAcceptedJob } from "./scheduler/createAcceptedJob.js";
import { createFakeWorkerPort } from "./scheduler/createFakeWorkerPort.js";
import { createWorkerReport } from "./scheduler/createWorkerReport.js";
import { FakeMachines } from "./scheduler/FakeMachines.js";
import { keepLeaseRenewed } from "./scheduler/keepLeaseRenewed.js";
import { OwnerProcessor } from "./scheduler/OwnerProcessor.js";
import { readTestEvacuations } from "./scheduler/readTestEvacuations.js";
import type { Term } from "./scheduler/Term.js";
import { SuspendableClock } from "./SuspendableClock.js";

export type { Term } from "./scheduler/Term.js";

const MAX_HOLD_MS = 10_000;

/** Runs a scheduler against a fake store and fake workers, on a fake clock. */
export class SchedulerTestHarness {
    readonly clock = new FakeClock();
    readonly store = new FakeFleetStore(() => this.clock.now);
    readonly workers = new Map<WorkerId, FakeWorker>();
    /** Processor of every owner's process. */
    readonly processor = new OwnerProcessor(this.clock);
    /** Workers that are missing from the platform's list. */
    readonly unlistedWorkers = new Set<WorkerId>();
    /** Workers that the advice service rejects. */
    readonly deniedWorkers = new Set<WorkerId>();
    /** Calls to the advice service, in order. */
    readonly adviceCalls: { readonly step: AdvisedStep; readonly workers: readonly WorkerId[] }[] = [];
    /** The machines on which the workers run. */
    readonly machines = new FakeMachines({
        clock: this.clock,
        workers: this.workers,
        addWorker: report => this.addWorker(report),
    });
    /** Addresses to which the owner has closed its connections, in order. */
    readonly closedAddresses: string[] = [];
    /** Workers that have left but are still in the platform's list. */
    readonly departedReports: WorkerReport[] = [];
    /** All terms, the latest last. */
    readonly terms: Term[] = [];
    /** Tasks of which two runs were running at the same time. */
    readonly overlappingTasks = new Set<string>();
    /** Tasks that crash their worker, by name, each with the time from its start to the crash, in milliseconds. */
    readonly deadlyTasks = new Map<string, number>();
    configuration: FleetConfiguration = createTestConfiguration();
    /** Speed of the workers' clocks relative to the harness's clock. */
    workerClockRate = 1;
    /** Error of the wall clock of the owners' machines, in milliseconds. */
    wallClockErrorMs = 0;
    /** Error of the median of the daemons' wall clocks, in milliseconds. */
    medianWallClockErrorMs = 0;
    private jobCount = 0;
    private readonly submittedSteps = new Map<string, readonly MessageInitShape<typeof StepSchema>[]>();

    /** Adds workers to the fleet, each on its own machine, with four workers in a rack. */
    addWorkers(count: number): void {
        for (let added = 0; added < count; added++) {
            const report = createWorkerReport(this.workers.size);
            this.machines.add(report.machine);
            this.addWorker(report);
        }
    }

    /** Adds a worker to the fleet that describes itself by a report. */
    addWorker(report: WorkerReport): void {
        const worker = new FakeWorker(report, () => this.clock.now * this.workerClockRate);
        worker.getRequest = task => {
            const { request, fillsIdle = false } = this.submittedSteps.get(task.job)?.[task.step] ?? {};
            return { ...request, ...(fillsIdle ? { cpuMillis: 0 } : {}) };
        };
        worker.deadlyTasks = this.deadlyTasks;
        this.workers.set(report.id, worker);
    }

    /** Replaces a worker by one with another id at the same address; the platform goes on listing both. */
    replaceWorker(id: WorkerId, nextId: WorkerId): void {
        const { report } = this.workers.get(id)!;
        this.workers.delete(id);
        this.departedReports.push(report);
        this.addWorker({ ...report, id: nextId, bornMs: report.bornMs + 1 });
    }

    /** Stores a job, as a daemon does that accepts it, and returns its id. */
    submit(
        queue: string,
        customer: string,
        steps: readonly MessageInitShape<typeof StepSchema>[],
        options: CreateAcceptedJobOptions = {},
    ): JobId {
        this.jobCount += 1;
        const id = this.jobCount.toString(16).padStart(16, "0");
        this.submittedSteps.set(id, steps);
        const job = createAcceptedJob({
            id,
            queue,
            customer,
            steps,
            acceptedAtMs: this.clock.now,
            termRevision: this.terms.at(-1)!.scheduler.ownership.revision,
            configuration: this.configuration,
        }, options);
        this.store.put(storeKeys.job(id), toBinary(JobSchema, job));
        return id as JobId;
    }

    /** Announces a stored job to the owner of a term, as a daemon does that knows no newer one. */
    announce(id: JobId, { scheduler, clock }: Term): void {
        const item = this.store.get(storeKeys.job(id))!;
        void clock.waitUntilAwake().then(() => {
            if (scheduler.isLoaded && !scheduler.ownership.signal.aborted) {
                createOwnerService(scheduler).addJob(fromBinary(JobSchema, item.value), item.revision);
            }
        });
    }

    /** Stores the cancellation of a job. */
    cancel(id: JobId): void {
        this.store.put(storeKeys.cancellation(id), new Uint8Array());
    }

    /**
     * Begins a new term; the previous one continues unless it was ended.
     *
     * @param unreachableWorkers - Workers that the new owner cannot reach.
     */
    async beginTerm(unreachableWorkers: readonly WorkerId[] = []): Promise<Term> {
        const end = new AbortController();
        setMaxListeners(0, end.signal);
        const resignations: string[] = [];
        const unreachable = new Set(unreachableWorkers);
        const clock = new SuspendableClock(this.clock);
        const number = this.terms.length;
        const lease = keepLeaseRenewed({
            clock,
            baseClock: this.clock,
            isLatestTerm: () => this.terms.length <= number + 1,
            signal: end.signal,
        });
        const ownership: Ownership = {
            key: storeKeys.owner,
            revision: this.store.put(storeKeys.owner, new Uint8Array([number])),
            term: number,
            signal: end.signal,
            heldAt: () => lease.heldAt,
            resign: reason => {
                resignations.push(reason);
                end.abort();
            },
        };
        const store = createSuspendableStore(this.store.createClient(), clock);
        const log = winston.createLogger({ silent: true });
        const metrics = createMetrics();
        const evacuations = createActiveEvacuations({ log, metrics });
        const scheduler = createScheduler({
            store,
            workers: createFakeWorkerPort({
                workers: this.workers,
                unreachableWorkers: unreachable,
                baseClock: this.clock,
                clock,
                processor: this.processor,
                onConnectionsClosed: address => this.closedAddresses.push(address),
            }),
            node: "lab",
            machines: {
                list: async () => this.machines.list(),
                beginUpkeep: async ({ machine }) => this.machines.beginUpkeep(machine),
            },
            waveRecordFormat: {
                prefix: "waves/",
                decode: value => JSON.parse(Buffer.from(value).toString()) as UpkeepWave,
                statusKey: wave => `status/${wave}`,
                encodeStatus: state => Buffer.from(state),
            },
            advice: { advise: (step, workers) => this.advise(step, workers) },
            listWorkers: () => clock.receive(Promise.resolve(this.listWorkers())),
            configuration: () => this.configuration,
            evacuatedDataCentres: evacuations.current,
            readEvacuations: () => readTestEvacuations(store, evacuations),
            log,
            metrics,
            pause: clock.pause,
            clock: () => clock.now,
            wallClock: () => this.clock.now + this.medianWallClockErrorMs,
            machineWallClock: () => this.clock.now + this.wallClockErrorMs,
            bounds: { maxHoldMs: MAX_HOLD_MS, stateRetentionMs: 120_000 },
        }, ownership);
        const term = {
            scheduler,
            end,
            resignations,
            unreachableWorkers: unreachable,
            clock,
            lease,
            evacuations,
        };
        evacuations.onChange = () => scheduler.requestPass();
        this.terms.push(term);
        void runScheduler(scheduler);
        await this.advance(100);
        return term;
    }

    /** Aborts the latest term, as the death of the owner's process would. */
    killOwner(): void {
        this.terms.at(-1)?.end.abort();
    }

    /** Advances the clock by `ms` milliseconds. */
    async advance(ms: number): Promise<void> {
        await this.clock.advance(ms, () => {
            this.workers.forEach(worker => {
                worker.endExpiredRuns();
                worker.advanceCrash();
            });
            this.recordOverlappingTasks();
        });
    }

    /** Returns the name of a job's state as the latest owner reports it, or `unknown`. */
    stateOf(id: JobId): string {
        const known = createOwnerService(this.terms.at(-1)!.scheduler).describeJob(id);
        return known === undefined ? "unknown" : JobState[known.state].toLowerCase();
    }

    /** Returns the worker on which a task runs, or `undefined` if it does not run. */
    workerOf(task: string): FakeWorker | undefined {
        return [...this.workers.values()].find(worker => worker.running.has(task));
    }

    /** Returns a sorted line of text for each running task, with its run and its worker. */
    listRunningTasks(): readonly string[] {
        return [...this.workers.values()]
            .flatMap(worker =>
                [...worker.running].map(([task, { run }]) => `${task} run ${run} on ${worker.id}`)
            )
            .sort();
    }

    /** Records the call, and allows all workers except the denied ones. */
    private async advise(step: AdvisedStep, workers: readonly WorkerId[]): Promise<AdviceOutcome> {
        this.adviceCalls.push({ step, workers });
        const allowed = workers.filter(id => !this.deniedWorkers.has(id)).map(worker => ({
            worker,
            ticket: `t-${worker}`,
        }));
        return { kind: "advised", allowed, validityMs: 3_000 };
    }

    private listWorkers(): readonly WorkerReport[] {
        const reports = [...this.workers.values()]
            .filter(worker => !this.unlistedWorkers.has(worker.id) && !worker.isDown)
            .map(worker => ({
                ...worker.report,
                capacity: worker.listedCapacity ?? worker.capacity,
                bornMs: worker.registeredBornMs,
                draining: worker.isDraining,
                remainingMs: worker.remainingMs,
            }));
        return [...this.departedReports, ...reports];
    }

    private recordOverlappingTasks(): void {
        const tasks = [...this.workers.values()].flatMap(worker => [...worker.running.keys()]);
        tasks.filter((task, index) => tasks.indexOf(task) !== index).forEach(task =>
            this.overlappingTasks.add(task)
        );
    }
}
