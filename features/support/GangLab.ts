import type { StoreTransport } from "@balsamward/coordination";
import { cellStateKey, createStore, decodeEnvelope } from "@balsamward/coordination";
import type { CellId, Job } from "@balsamward/schema";
import { Adjacency, CellStateSchema, ConfigurationSchema, JobSchema, JobStage } from "@balsamward/schema";
import type { CommandResult, ReservationReport } from "@balsamward/stand-ins";
import { WorkerModel } from "@balsamward/stand-ins";
import { create } from "@bufbuild/protobuf";
import { err, ok } from "neverthrow";
import { createLogger } from "winston";
import { applyConfiguration } from "../../packages/daemon/src/_lib/applyConfiguration.js";
import type { Configured } from "../../packages/daemon/src/_lib/Configured.js";
import type { Vm } from "../../packages/daemon/src/_lib/Vm.js";
import type { OwnedCell } from "../../packages/daemon/src/cells/openCell.js";
import { openCell } from "../../packages/daemon/src/cells/openCell.js";
import type { WorkerClient } from "../../packages/daemon/src/fleet/WorkerClient.js";
import { createMetrics } from "../../packages/daemon/src/Metrics.js";
import { LogicalClock } from "./LogicalClock.js";
import { MemoryStore } from "./MemoryStore.js";

/** What happens at one command to a worker. */
export type CommandFault =
    /** The worker dies before the command, with its tasks. */
    | "worker dies"
    /** The worker does not receive the command. */
    | "command lost"
    /** The worker carries the command out, and the answer is lost. */
    | "answer lost"
    /** The owner dies before the command; another takes the cell once the lease has ended. */
    | "owner dies"
    /** The owner is paused before the command, and wakes after another has taken the cell. */
    | "owner paused";

/** The member states of one gang at one moment, and since when some of it was missing. */
type Watch = { incompleteSince: number | undefined };

const CELL = "recife-c0" as CellId;
const WORKERS = 4;
const ACCELERATORS = 8;
const TAKEOVER_MS = 7_000;
/** Time to live of a reservation and one interval of renewal: the bound within which a broken gang stops. */
const STOP_BOUND_MS = 11_000;

const DOCUMENT = `[data_centre.recife]
workers = ${WORKERS}
workers_per_rack = 4
accelerators_per_worker = ${ACCELERATORS}
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

/** One cell with workers, store and owners in memory, on a logical clock. */
export class GangLab {
    readonly clock = new LogicalClock();
    readonly memory = new MemoryStore(() => this.clock.now);
    readonly workers = new Map<string, WorkerModel>();
    /** Commands sent to workers since `arm`, renewals left out. */
    commands = 0;
    /** Where a broken gang ran for longer than the bound, or a member started too early. */
    readonly violations: string[] = [];
    owner: OwnedCell | undefined;
    private epoch = 0;
    private fault: { readonly at: number; readonly kind: CommandFault } | undefined;
    private readonly frozen = new Map<number, (() => void)[]>();
    private readonly watches = new Map<string, Watch>();
    private readonly end = new AbortController();
    private readonly configured: Configured;

    /** Creates the cell with four healthy workers in one rack. */
    constructor() {
        const configuration = create(ConfigurationSchema, { generation: 1n, text: DOCUMENT });
        this.configured = applyConfiguration(configuration)._unsafeUnwrap();
        for (let index = 0; index < WORKERS; index++) {
            this.workers.set(`recife-w${index}`, new WorkerModel(() => this.clock.now));
        }
    }

    /** Lets a new owner with the next epoch open the cell. */
    async takeOver(): Promise<void> {
        this.epoch += 1;
        const { epoch } = this;
        const opened = await openCell({
            id: CELL,
            epoch,
            environment: "production",
            store: createStore(this.guardStore(epoch), { pause: this.clock.pause }),
            workers: this.createClient(epoch),
            log: createLogger({ silent: true }),
            metrics: createMetrics(),
            configured: () => this.configured,
            listWorkers: () => this.listVms(),
            clock: () => this.clock.now,
            pause: this.clock.pause,
            isLeaseValid: () => !this.frozen.has(epoch),
        });
        if (opened.isOk()) {
            this.owner = opened.value;
            void opened.value.run(this.end.signal);
        }
    }

    /** Sets the fault for the command with the given number, counted from now. */
    arm(kind: CommandFault, at: number): void {
        this.commands = 0;
        this.fault = { at, kind };
    }

    /** Submits a gang of two whole workers. */
    async submit(id: string, customer: string, runMs: number): Promise<void> {
        const job = create(JobSchema, {
            id: `${CELL}-${id}`,
            customer,
            kind: "batch",
            shape: { members: 2, acceleratorsPerMember: ACCELERATORS, adjacency: Adjacency.RACK },
            declaredRunMs: BigInt(runMs),
            stage: JobStage.QUEUED,
            submittedAtMs: BigInt(this.clock.now),
        });
        await this.owner!.submit(job);
    }

    /** Moves the time and watches every gang after each step. */
    async advance(ms: number): Promise<void> {
        await this.clock.advance(ms, () => this.watchGangs());
    }

    /** Returns a job as its present owner knows it. */
    job(id: string): Job | undefined {
        return this.owner!.get(`${CELL}-${id}` as never).job;
    }

    /** Returns what the workers measured for a job, in accelerator-milliseconds. */
    measured(id: string): number {
        return this.reports().filter(entry => entry.job === `${CELL}-${id}`).reduce(
            (sum, entry) => sum + entry.heldMs,
            0,
        );
    }

    /** Returns the reports of all workers. */
    reports(): readonly ReservationReport[] {
        return [...this.workers.values()].flatMap(worker => worker.reports());
    }

    /** Ends the owner's loop. */
    async close(): Promise<void> {
        this.end.abort();
        await this.clock.advance(1_000);
    }

    private listVms(): readonly Vm[] {
        return [...this.workers.keys()].map(id => ({
            id,
            role: "worker",
            address: id,
            dataCentre: "recife",
            rack: 0,
            accelerators: ACCELERATORS,
            state: "live",
        }));
    }

    /** A gang may be incomplete for no longer than the bound, and starts only when whole. */
    private watchGangs(): void {
        const byJob = new Map<string, ReservationReport[]>();
        for (const entry of this.reports()) {
            if (entry.state === "running" || entry.state === "reserved") {
                byJob.set(entry.job, [...byJob.get(entry.job) ?? [], entry]);
            }
        }
        for (const [job, members] of byJob) {
            const running = members.filter(entry => entry.state === "running").length;
            const watch = this.watches.get(job) ?? { incompleteSince: undefined };
            this.watches.set(job, watch);
            if (running === 0 || members.length === 2) {
                watch.incompleteSince = undefined;
                continue;
            }
            watch.incompleteSince ??= this.clock.now;
            if (this.clock.now - watch.incompleteSince > STOP_BOUND_MS) {
                this.violations.push(
                    `${job} runs with ${members.length} of 2 members since ${watch.incompleteSince}`,
                );
            }
        }
        for (const job of this.watches.keys()) {
            if (!byJob.has(job)) {
                this.watches.delete(job);
            }
        }
    }

    /** Before any member starts, every member is reserved and the decision is durable. */
    private checkStart(reservation: string): void {
        const reserved = this.reports().filter(entry => entry.id === reservation).length;
        const stored = this.memory.model.get(cellStateKey("production", CELL));
        const state = decodeEnvelope(CellStateSchema, stored!.value)._unsafeUnwrap().message;
        const durable = state.jobs.some(job => job.grants.some(grant => grant.reservation === reservation));
        if (reserved !== 2 || !durable) {
            this.violations.push(
                `${reservation} starts with ${reserved} of 2 members reserved, durable: ${durable}`,
            );
        }
    }

    private createClient(epoch: number): WorkerClient {
        const command = async (
            address: string,
            act: (worker: WorkerModel) => CommandResult,
            counted = true,
        ) => {
            const fault = counted ? this.nextFault(epoch) : undefined;
            await this.passGate(epoch);
            const worker = this.workers.get(address)!;
            if (fault === "worker dies") {
                worker.kill();
            }
            if (worker.faults.dead || fault === "command lost") {
                return err({ kind: "unreachable", message: "No answer." } as const);
            }
            const result = act(worker);
            await Promise.resolve();
            if (fault === "answer lost") {
                return err({ kind: "unreachable", message: "No answer." } as const);
            }
            return result.kind === "done" ? ok(result.report) : err(result);
        };
        return {
            reserve: (address, by, request) =>
                command(address, worker => worker.reserve({ ...by, ...request })),
            start: (address, by, id, runMs) => {
                this.checkStart(id);
                return command(address, worker => worker.start(by, id, runMs));
            },
            checkpoint: (address, by, id) => command(address, worker => worker.checkpoint(by, id)),
            stop: (address, by, id) => command(address, worker => worker.stop(by, id)),
            renew: async (address, by, settled, ttlMs) => {
                await this.passGate(epoch);
                const worker = this.workers.get(address)!;
                if (worker.faults.dead) {
                    return err({ kind: "unreachable", message: "No answer." });
                }
                const reports = worker.renew(by, ttlMs);
                if (reports === undefined) {
                    return err({ kind: "refused", reason: "stale-epoch" });
                }
                settled.forEach(id => worker.forget(id));
                return ok(reports.filter(report => !settled.includes(report.id)));
            },
        };
    }

    private nextFault(epoch: number): CommandFault | undefined {
        this.commands += 1;
        if (this.fault?.at !== this.commands) {
            return undefined;
        }
        const { kind } = this.fault;
        this.fault = undefined;
        if (kind === "owner dies" || kind === "owner paused") {
            this.frozen.set(epoch, []);
            void this.replaceOwner(epoch, kind);
        }
        return kind;
    }

    private async replaceOwner(epoch: number, kind: CommandFault): Promise<void> {
        await this.clock.pause(TAKEOVER_MS);
        await this.takeOver();
        if (kind === "owner paused") {
            await this.clock.pause(TAKEOVER_MS);
            const waiting = this.frozen.get(epoch) ?? [];
            this.frozen.delete(epoch);
            waiting.forEach(wake => wake());
        }
    }

    /** Holds the calls of a frozen owner; they go on only if it wakes. */
    private async passGate(epoch: number): Promise<void> {
        const waiting = this.frozen.get(epoch);
        if (waiting !== undefined) {
            await new Promise<void>(resolve => waiting.push(resolve));
        }
    }

    private guardStore(epoch: number): StoreTransport {
        const transport = this.memory.transport();
        return {
            ...transport,
            get: key => this.gated(epoch, () => transport.get(key)),
            write: write => this.gated(epoch, () => transport.write(write)),
        };
    }

    private gated<T extends { andThen: unknown }>(epoch: number, call: () => T): T {
        const waiting = this.frozen.get(epoch);
        if (waiting === undefined) {
            return call();
        }
        const later = new Promise<void>(resolve => waiting.push(resolve)).then(() =>
            call() as unknown as PromiseLike<T>
        );
        return later as unknown as T;
    }
}
