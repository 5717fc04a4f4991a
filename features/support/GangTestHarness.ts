import type { StoreTransport } from "@balsamward/coordination";
import { cellStateKey, createStore, decodeEnvelope } from "@balsamward/coordination";
import type { CellId, Job } from "@balsamward/schema";
import { Adjacency, CellStateSchema, ConfigurationSchema, JobSchema, JobStage } from "@balsamward/schema";
import type { CommandResult, ReservationReport } from "@balsamward/stand-ins";
import { WorkerModel } from "@balsamward/stand-ins";
import { create } from "@bufbuild/protobuf";
import { err, ok } from "neverthrow";
import { createLogger } from "winston";
import type { ActiveConfiguration } from "../../packages/daemon/src/_lib/ActiveConfiguration.js";
import { compileConfiguration } from "../../packages/daemon/src/_lib/compileConfiguration.js";
import type { Vm } from "../../packages/daemon/src/_lib/Vm.js";
import type { OwnedCell } from "../../packages/daemon/src/cells/openCell.js";
import { openCell } from "../../packages/daemon/src/cells/openCell.js";
import type { WorkerClient } from "../../packages/daemon/src/fleet/WorkerClient.js";
import { createMetrics } from "../../packages/daemon/src/Metrics.js";
import { FakeClock } from "./FakeClock.js";
import { FakeStore } from "./FakeStore.js";

/** A fault injected at one command to a worker. */
export type CommandFault =
    /** The worker and its tasks die before the command arrives. */
    | "worker dies"
    /** The worker does not receive the command. */
    | "command lost"
    /** The worker executes the command, and its response is lost. */
    | "answer lost"
    /** The owner dies before the command; a new owner takes the cell over once the lease has ended. */
    | "owner dies"
    /** The owner is paused before the command, and resumes after a new owner has taken the cell over. */
    | "owner paused";

/** Time in milliseconds since which a running gang lacks a member, or `undefined` if it is complete. */
type GangObservation = { incompleteSince: number | undefined };

const CELL_ID = "recife-c0" as CellId;
const WORKER_COUNT = 4;
const ACCELERATORS_PER_WORKER = 8;
/** Time after which a new owner takes the cell over; a paused owner resumes after the same time again. */
const TAKEOVER_DELAY_MS = 7_000;
/** Maximum time that an incomplete gang may run: the time to live of a reservation plus one renewal interval. */
const MAX_INCOMPLETE_MS = 11_000;

const CONFIGURATION_TEXT = `[data_centre.recife]
workers = ${WORKER_COUNT}
workers_per_rack = 4
accelerators_per_worker = ${ACCELERATORS_PER_WORKER}
racks_per_cell = 1
[customer.a]
weight = 1
token_sha256 = ${"0".repeat(64)}
quota_accelerators = 32
[customer.a.guarantee.own]
gangs = 1
members = 2
accelerators_per_member = 8
adjacency = rack
[customer.b]
weight = 1
token_sha256 = ${"1".repeat(64)}
quota_accelerators = 32
[kind.batch]
work = job
idempotent = false
urgency = normal
deadline_ms = 60000
rate_per_second = 10
concurrency = 100
preemptible = true
checkpoint_ms = 1000
`;

/** Runs the owners of one cell against fake workers and a fake store, on a fake clock. */
export class GangTestHarness {
    readonly clock = new FakeClock();
    readonly store = new FakeStore(() => this.clock.now);
    readonly workers = new Map<string, WorkerModel>();
    /** Number of commands sent to workers since `scheduleFault`, not counting renewals. */
    commandCount = 0;
    /** Violations found: an incomplete gang that ran for too long, or a member that started too early. */
    readonly violations: string[] = [];
    /** The cell as its latest owner holds it. */
    ownedCell: OwnedCell | undefined;
    private epoch = 0;
    private scheduledFault: { readonly at: number; readonly kind: CommandFault } | undefined;
    /** Blocked calls of paused and dead owners, by the owner's epoch. */
    private readonly pausedOwners = new Map<number, (() => void)[]>();
    private readonly observations = new Map<string, GangObservation>();
    private readonly abortController = new AbortController();
    private readonly activeConfiguration: ActiveConfiguration;

    /** Creates the cell with four healthy workers in one rack. */
    constructor() {
        const configuration = create(ConfigurationSchema, { generation: 1n, text: CONFIGURATION_TEXT });
        this.activeConfiguration = compileConfiguration(configuration)._unsafeUnwrap();
        for (let index = 0; index < WORKER_COUNT; index++) {
            this.workers.set(`recife-w${index}`, new WorkerModel(() => this.clock.now));
        }
    }

    /** Opens the cell with the next epoch, as a new owner does. */
    async takeOver(): Promise<void> {
        this.epoch += 1;
        const { epoch } = this;
        const opened = await openCell({
            id: CELL_ID,
            epoch,
            environment: "production",
            store: createStore(this.createTransport(epoch), { pause: this.clock.pause }),
            workerClient: this.createClient(epoch),
            log: createLogger({ silent: true }),
            metrics: createMetrics(),
            getActiveConfiguration: () => this.activeConfiguration,
            listWorkerVms: () => this.listVms(),
            clock: () => this.clock.now,
            pause: this.clock.pause,
            isLeaseValid: () => !this.pausedOwners.has(epoch),
        });
        if (opened.isOk()) {
            this.ownedCell = opened.value;
            void opened.value.run(this.abortController.signal);
        }
    }

    /** Schedules a fault at the `at`-th command from now, counted from 1. */
    scheduleFault(kind: CommandFault, at: number): void {
        this.commandCount = 0;
        this.scheduledFault = { at, kind };
    }

    /** Submits a gang with two members, each of which occupies a whole worker for `runMs` milliseconds. */
    async submit(id: string, customer: string, runMs: number): Promise<void> {
        const job = create(JobSchema, {
            id: `${CELL_ID}-${id}`,
            customer,
            kind: "batch",
            shape: { members: 2, acceleratorsPerMember: ACCELERATORS_PER_WORKER, adjacency: Adjacency.RACK },
            declaredRunMs: BigInt(runMs),
            stage: JobStage.QUEUED,
            submittedAtMs: BigInt(this.clock.now),
        });
        await this.ownedCell!.submit(job);
    }

    /** Advances the clock by `ms` milliseconds, and checks every gang after each step. */
    async advance(ms: number): Promise<void> {
        await this.clock.advance(ms, () => this.checkGangs());
    }

    /** Returns a job as the latest owner knows it. */
    job(id: string): Job | undefined {
        return this.ownedCell!.get(`${CELL_ID}-${id}` as never).job;
    }

    /** Returns the usage that the workers measured for a job, in accelerator-milliseconds. */
    measureHeldMs(id: string): number {
        return this.listReports().filter(entry => entry.job === `${CELL_ID}-${id}`).reduce(
            (sum, entry) => sum + entry.heldMs,
            0,
        );
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

    private listVms(): readonly Vm[] {
        return [...this.workers.keys()].map(id => ({
            id,
            role: "worker",
            address: id,
            dataCentre: "recife",
            rack: 0,
            accelerators: ACCELERATORS_PER_WORKER,
            state: "live",
        }));
    }

    /** Records a violation for each gang that has run incomplete for longer than `MAX_INCOMPLETE_MS`. */
    private checkGangs(): void {
        const byJob = new Map<string, ReservationReport[]>();
        for (const entry of this.listReports()) {
            if (entry.state === "running" || entry.state === "reserved") {
                byJob.set(entry.job, [...byJob.get(entry.job) ?? [], entry]);
            }
        }
        for (const [job, members] of byJob) {
            const running = members.filter(entry => entry.state === "running").length;
            const observation = this.observations.get(job) ?? { incompleteSince: undefined };
            this.observations.set(job, observation);
            if (running === 0 || members.length === 2) {
                observation.incompleteSince = undefined;
                continue;
            }
            observation.incompleteSince ??= this.clock.now;
            if (this.clock.now - observation.incompleteSince > MAX_INCOMPLETE_MS) {
                this.violations.push(
                    `The job '${job}' has run with ${members.length} of 2 members since ${observation.incompleteSince} ms.`,
                );
            }
        }
        for (const job of this.observations.keys()) {
            if (!byJob.has(job)) {
                this.observations.delete(job);
            }
        }
    }

    /** Records a violation if a member starts before all members are reserved and the decision is stored. */
    private checkStart(reservation: string): void {
        const reserved = this.listReports().filter(entry => entry.id === reservation).length;
        const stored = this.store.model.get(cellStateKey("production", CELL_ID));
        const state = decodeEnvelope(CellStateSchema, stored!.value)._unsafeUnwrap().message;
        const durable = state.jobs.some(job => job.grants.some(grant => grant.reservation === reservation));
        if (reserved !== 2 || !durable) {
            this.violations.push(
                `The reservation '${reservation}' starts with ${reserved} of 2 members reserved; decision stored: ${durable}.`,
            );
        }
    }

    /** Creates the client through which the owner with an epoch commands the workers. */
    private createClient(epoch: number): WorkerClient {
        const command = async (
            address: string,
            action: (worker: WorkerModel) => CommandResult,
            isCounted = true,
        ) => {
            const fault = isCounted ? this.takeFault(epoch) : undefined;
            await this.waitWhilePaused(epoch);
            const worker = this.workers.get(address)!;
            if (fault === "worker dies") {
                worker.kill();
            }
            if (worker.faults.dead || fault === "command lost") {
                return err(
                    { kind: "unreachable", message: "The worker does not answer. Try again later." } as const,
                );
            }
            const result = action(worker);
            await Promise.resolve();
            if (fault === "answer lost") {
                return err(
                    { kind: "unreachable", message: "The worker does not answer. Try again later." } as const,
                );
            }
            return result.kind === "done" ? ok(result.report) : err(result);
        };
        return {
            reserve: (address, owner, request) =>
                command(address, worker => worker.reserve({ ...owner, ...request })),
            start: (address, owner, id, runMs) => {
                this.checkStart(id);
                return command(address, worker => worker.start(owner, id, runMs));
            },
            checkpoint: (address, owner, id) => command(address, worker => worker.checkpoint(owner, id)),
            stop: (address, owner, id) => command(address, worker => worker.stop(owner, id)),
            renew: async (address, owner, settled, ttlMs) => {
                await this.waitWhilePaused(epoch);
                const worker = this.workers.get(address)!;
                if (worker.faults.dead) {
                    return err({
                        kind: "unreachable",
                        message: "The worker does not answer. Try again later.",
                    });
                }
                const reports = worker.renew(owner, ttlMs);
                if (reports === undefined) {
                    return err({ kind: "refused", reason: "stale-epoch" });
                }
                settled.forEach(id => worker.forget(id));
                return ok(reports.filter(report => !settled.includes(report.id)));
            },
        };
    }

    /** Counts a command, and returns the fault scheduled for it, if any. */
    private takeFault(epoch: number): CommandFault | undefined {
        this.commandCount += 1;
        if (this.scheduledFault?.at !== this.commandCount) {
            return undefined;
        }
        const { kind } = this.scheduledFault;
        this.scheduledFault = undefined;
        if (kind === "owner dies" || kind === "owner paused") {
            this.pausedOwners.set(epoch, []);
            void this.replaceOwner(epoch, kind);
        }
        return kind;
    }

    /** Lets a new owner take over after a delay, and then resumes the previous one if it was only paused. */
    private async replaceOwner(epoch: number, kind: CommandFault): Promise<void> {
        await this.clock.pause(TAKEOVER_DELAY_MS);
        await this.takeOver();
        if (kind === "owner paused") {
            await this.clock.pause(TAKEOVER_DELAY_MS);
            const blockedCalls = this.pausedOwners.get(epoch) ?? [];
            this.pausedOwners.delete(epoch);
            blockedCalls.forEach(resume => resume());
        }
    }

    /** Blocks a call of a paused or dead owner until the owner resumes, which a dead one never does. */
    private async waitWhilePaused(epoch: number): Promise<void> {
        const blockedCalls = this.pausedOwners.get(epoch);
        if (blockedCalls !== undefined) {
            await new Promise<void>(resolve => blockedCalls.push(resolve));
        }
    }

    /** Creates a store transport whose reads and writes block while the owner with the epoch is paused or dead. */
    private createTransport(epoch: number): StoreTransport {
        const transport = this.store.createTransport();
        return {
            ...transport,
            get: key => this.callWhenResumed(epoch, () => transport.get(key)),
            write: write => this.callWhenResumed(epoch, () => transport.write(write)),
        };
    }

    private callWhenResumed<T extends { andThen: unknown }>(epoch: number, call: () => T): T {
        const blockedCalls = this.pausedOwners.get(epoch);
        if (blockedCalls === undefined) {
            return call();
        }
        const resumedCall = new Promise<void>(resolve => blockedCalls.push(resolve)).then(() =>
            call() as unknown as PromiseLike<T>
        );
        return resumedCall as unknown as T;
    }
}
