import { cellStateKey, createStore, decodeEnvelope } from "@balsamward/coordination";
import type { Job, JobId, Outcome } from "@balsamward/schema";
import { Adjacency, CellStateSchema, ConfigurationSchema, JobSchema, JobStage } from "@balsamward/schema";
import type { ReservationReport } from "@balsamward/stand-ins";
import { WorkerModel } from "@balsamward/stand-ins";
import { create } from "@bufbuild/protobuf";
import { createLogger } from "winston";
import type { ActiveConfiguration } from "../../packages/daemon/src/_lib/ActiveConfiguration.js";
import { compileConfiguration } from "../../packages/daemon/src/_lib/compileConfiguration.js";
import type { OwnedCell } from "../../packages/daemon/src/cells/openCell.js";
import { openCell } from "../../packages/daemon/src/cells/openCell.js";
import { createMetrics } from "../../packages/daemon/src/Metrics.js";
import { FakeClock } from "./FakeClock.js";
import { FakeStore } from "./FakeStore.js";
import type { CommandFault } from "./gang/CommandFaults.js";
import { CommandFaults } from "./gang/CommandFaults.js";
import { createFaultyWorkerClient } from "./gang/createFaultyWorkerClient.js";
import { createPausableTransport } from "./gang/createPausableTransport.js";
import { GangChecks } from "./gang/GangChecks.js";
import {
    ACCELERATORS_PER_WORKER,
    CELL_ID,
    CONFIGURATION_TEXT,
    MEMBERS_PER_GANG,
    WORKER_VMS,
} from "./gang/gangTestCell.js";
import { OwnerPauses } from "./gang/OwnerPauses.js";

const ENVIRONMENT = "production";
/** Time after which a new owner takes the cell over; a paused owner resumes after the same time again. */
const TAKEOVER_DELAY_MS = 7_000;

/** Runs the owners of one cell against fake workers and a fake store, on a fake clock. */
export class GangTestHarness {
    readonly clock = new FakeClock();
    readonly store = new FakeStore(() => this.clock.now);
    /** The workers by their ids, which are also their addresses. */
    readonly workers: ReadonlyMap<string, WorkerModel>;
    /** The cell as its latest owner holds it. */
    ownedCell: OwnedCell | undefined;
    private epoch = 0;
    private readonly commandFaults = new CommandFaults();
    private readonly ownerPauses = new OwnerPauses();
    private readonly checks = new GangChecks(MEMBERS_PER_GANG);
    private readonly abortController = new AbortController();
    private readonly activeConfiguration: ActiveConfiguration;

    /** Creates the cell with its healthy workers. */
    constructor() {
        const configuration = create(ConfigurationSchema, { generation: 1n, text: CONFIGURATION_TEXT });
        this.activeConfiguration = compileConfiguration(configuration)._unsafeUnwrap();
        this.workers = new Map(WORKER_VMS.map(vm => [vm.address, new WorkerModel(() => this.clock.now)]));
    }

    /** Violations found: an incomplete gang that ran for too long, or a member that started too early. */
    get violations(): readonly string[] {
        return this.checks.violations;
    }

    /** Addresses of workers that run on, but that no owner reaches. */
    readonly silentAddresses = new Set<string>();

    /** Opens the cell with the next epoch, as a new owner does. */
    async takeOver(): Promise<void> {
        this.epoch += 1;
        const { epoch } = this;
        const transport = createPausableTransport(this.store.createTransport(), this.ownerPauses, epoch);
        const opened = await openCell({
            id: CELL_ID,
            epoch,
            environment: ENVIRONMENT,
            store: createStore(transport, { pause: this.clock.pause }),
            workerClient: createFaultyWorkerClient({
                workers: this.workers,
                silentAddresses: this.silentAddresses,
                takeFault: () => this.takeFault(epoch),
                waitWhilePaused: () => this.ownerPauses.waitWhilePaused(epoch),
                onStart: reservation => this.checkStart(reservation),
            }),
            log: createLogger({ silent: true }),
            metrics: createMetrics(),
            getActiveConfiguration: () => this.activeConfiguration,
            listWorkerVms: () => WORKER_VMS,
            clock: () => this.clock.now,
            pause: this.clock.pause,
            isLeaseValid: () => !this.ownerPauses.isPaused(epoch),
        });
        if (opened.isOk()) {
            this.ownedCell = opened.value;
            void opened.value.run(this.abortController.signal);
        }
    }

    /** Cuts off the worker of a job's first member, and lets a new owner take over from one that has died. */
    async takeOverBesideSilentWorker(id: string): Promise<void> {
        const { worker } = this.job(id)!.grants[0]!;
        this.silentAddresses.add(WORKER_VMS.find(vm => vm.id === worker)!.address);
        this.ownerPauses.pause(this.epoch);
        await this.takeOver();
    }

    /** Schedules a fault at the `at`-th command from now, counted from 1 and without renewals. */
    scheduleFault(kind: CommandFault, at: number): void {
        this.commandFaults.schedule(kind, at);
    }

    /** Submits a gang whose members each occupy a whole worker for `runMs` milliseconds; returns the outcome. */
    async submit(id: string, customer: string, runMs: number): Promise<Outcome> {
        const job = create(JobSchema, {
            id: toJobId(id),
            customer,
            kind: "batch",
            shape: {
                members: MEMBERS_PER_GANG,
                acceleratorsPerMember: ACCELERATORS_PER_WORKER,
                adjacency: Adjacency.RACK,
            },
            declaredRunMs: BigInt(runMs),
            stage: JobStage.QUEUED,
            submittedAtMs: BigInt(this.clock.now),
        });
        const { outcome } = await this.ownedCell!.submit(job);
        return outcome;
    }

    /** Advances the clock by `ms` milliseconds, and checks every gang after each step. */
    async advance(ms: number): Promise<void> {
        await this.clock.advance(ms, () => this.checks.checkRunning(this.listReports(), this.clock.now));
    }

    /** Returns a job as the latest owner knows it. */
    job(id: string): Job | undefined {
        return this.ownedCell!.get(toJobId(id)).job;
    }

    /** Returns the usage that the workers measured for a job, in accelerator-milliseconds. */
    measureHeldMs(id: string): number {
        return this.listReports()
            .filter(report => report.job === toJobId(id))
            .reduce((sum, report) => sum + report.heldMs, 0);
    }

    /** Returns the reports of all workers. */
    listReports(): readonly ReservationReport[] {
        return [...this.workers.values()].flatMap(worker => worker.listReports());
    }

    /** Stops the loops of all owners. */
    async close(): Promise<void> {
        this.abortController.abort();
        await this.clock.advance(1_000);
    }

    /** Checks that a reservation starts only after its gang is reserved and the decision is stored. */
    private checkStart(reservation: string): void {
        const stored = this.store.model.get(cellStateKey(ENVIRONMENT, CELL_ID));
        const state = decodeEnvelope(CellStateSchema, stored!.value)._unsafeUnwrap().message;
        const isStored = state.jobs.some(job => job.grants.some(grant => grant.reservation === reservation));
        this.checks.checkStart(reservation, this.listReports(), isStored);
    }

    /** Returns the fault of an owner's next command; a fault of the owner itself begins at once. */
    private takeFault(epoch: number): CommandFault | undefined {
        const fault = this.commandFaults.take();
        if (fault === "owner dies" || fault === "owner paused") {
            this.ownerPauses.pause(epoch);
            void this.replaceOwner(epoch, fault);
        }
        return fault;
    }

    /** Lets a new owner take over after a delay, and then resumes the previous one if it was only paused. */
    private async replaceOwner(epoch: number, fault: "owner dies" | "owner paused"): Promise<void> {
        await this.clock.pause(TAKEOVER_DELAY_MS);
        await this.takeOver();
        if (fault === "owner paused") {
            await this.clock.pause(TAKEOVER_DELAY_MS);
            this.ownerPauses.resume(epoch);
        }
    }
}

function toJobId(id: string): JobId {
    return `${CELL_ID}-${id}` as JobId;
}
