import type { JobId } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import type { Random } from "../createRandom.js";
import { choose } from "../createRandom.js";
import type { SchedulerTestHarness } from "../SchedulerTestHarness.js";
import type { CrashRecorder } from "./CrashRecorder.js";

/** Kind of a job. */
export type InnocentJobKind = "plain" | "wide" | "gang" | "copies" | "lasting";

/** A job of which no task crashes its worker. */
export type InnocentJob = {
    readonly id: JobId;
    readonly kind: InnocentJobKind;
    readonly taskCount: number;
    /** Number of accelerators of each task. */
    readonly accelerators: number;
    /** Time for which a run lasts on most workers, in milliseconds; infinite for a job that lasts. */
    readonly runMs: number;
};

/** Whole numbers from the first to the last, both included. */
type Range = readonly [number, number];

type Shape = { readonly taskCount: Range; readonly accelerators: Range; readonly runMs: Range };

/** A run of a member of a gang. */
type GangMember = { readonly run: number; readonly startedAt: number };

const SHAPES: Readonly<Record<InnocentJobKind, Shape>> = {
    plain: { taskCount: [1, 8], accelerators: [1, 4], runMs: [1_000, 15_000] },
    wide: { taskCount: [20, 60], accelerators: [1, 2], runMs: [1_000, 6_000] },
    gang: { taskCount: [2, 6], accelerators: [1, 4], runMs: [3_000, 15_000] },
    copies: { taskCount: [4, 11], accelerators: [1, 2], runMs: [2_000, 10_000] },
    lasting: { taskCount: [1, 4], accelerators: [1, 4], runMs: [2_000, 4_000] },
};

const KINDS = ["plain", "wide", "gang", "copies", "lasting"] as const;

/** Time for which all workers are busy with the jobs, at most, in milliseconds. */
const MAX_LOAD_MS = 30_000;

/** Share of the accelerators that jobs that last may take. */
const LASTING_SHARE = 0.2;

const WORKER_ACCELERATORS = 8;

/** Number of machines of which one is slow, so that copies of its runs are started. */
const MACHINES_PER_SLOW_ONE = 8;
const SLOW_FACTOR = 3;

/** Jobs without a guilty task, and the progress of their runs. */
export class InnocentJobs {
    readonly jobs: InnocentJob[] = [];
    /** Latest run of each gang of which all members have been seen running. */
    private readonly wholeRuns = new Map<JobId, number>();
    private loadLeftMs: number;
    private lastingLeft: number;

    /**
     * Creates the jobs of a soak; none is submitted yet.
     *
     * @param harness - The harness with all its workers.
     * @param recorder - The recorder, which is told the gangs.
     * @param random - The generator.
     */
    constructor(
        private readonly harness: SchedulerTestHarness,
        private readonly recorder: CrashRecorder,
        private readonly random: Random,
    ) {
        const accelerators = harness.workers.size * WORKER_ACCELERATORS;
        this.loadLeftMs = accelerators * MAX_LOAD_MS;
        this.lastingLeft = Math.floor(accelerators * LASTING_SHARE);
    }

    /** Submits a job of some kind if the fleet has enough time left for it. */
    submitSome(): void {
        this.submit(choose(KINDS, this.random));
    }

    /** Submits a job of a kind if the fleet has enough time or room left for it. */
    submit(kind: InnocentJobKind): void {
        const shape = SHAPES[kind];
        const taskCount = this.choose(shape.taskCount);
        const accelerators = this.choose(shape.accelerators);
        const runMs = this.choose(shape.runMs);
        const isLasting = kind === "lasting";
        const loadMs = isLasting ? 0 : taskCount * accelerators * runMs;
        const lasting = isLasting ? taskCount * accelerators : 0;
        if (loadMs > this.loadLeftMs || lasting > this.lastingLeft) {
            return;
        }
        this.loadLeftMs -= loadMs;
        this.lastingLeft -= lasting;
        const id = this.harness.submit("normal", choose(["ana", "bob"], this.random), [{
            taskCount,
            request: { cpuMillis: 500, memoryMb: 500, accelerators },
            estimatedMs: Math.round(runMs * (0.5 + this.random())),
            gang: kind === "gang",
            lasting: isLasting,
            copiesAllowed: kind === "copies",
        }]);
        if (kind === "gang") {
            this.recorder.gangJobs.add(id);
        }
        this.jobs.push({
            id,
            kind,
            taskCount,
            accelerators,
            runMs: isLasting ? Number.POSITIVE_INFINITY : runMs,
        });
    }

    /** Sets the progress of all runs, and ends those that have lasted for their time; gangs end as a whole. */
    advanceRuns(): void {
        const { workers, clock } = this.harness;
        const jobs = new Map<string, InnocentJob>(this.jobs.map(job => [job.id, job]));
        const gangs = this.jobs.filter(({ kind }) => kind === "gang");
        gangs.forEach(gang => this.breakGangIfLapsed(gang));
        const endedGangs = new Set(gangs.filter(gang => this.isGangOver(gang)));
        for (const worker of workers.values()) {
            for (const [name, run] of worker.running) {
                const job = jobs.get(run.task.job)!;
                const share = (clock.now - run.startedAt) / (job.runMs * getSlowness(worker));
                run.percent = Math.min(99, Math.floor(100 * share));
                if (job.kind === "gang" ? endedGangs.has(job) : share >= 1) {
                    worker.endRun(name, "done");
                }
            }
        }
    }

    /** Lists the tasks of a job that do not run. */
    listIdleTasks({ id, taskCount }: InnocentJob): readonly string[] {
        return Array.from({ length: taskCount }, (_, index) => `${id}.0.0.${index}`)
            .filter(name => this.harness.workerOf(name) === undefined);
    }

    /** Ends the rest of a gang as workers do once a member is gone, such as one whose worker's lease has lapsed. */
    private breakGangIfLapsed(gang: InnocentJob): void {
        const runs = this.listMembers(gang).map(({ run }) => run);
        if (this.isWhole(gang)) {
            this.wholeRuns.set(gang.id, runs[0]!);
            return;
        }
        const wholeRun = this.wholeRuns.get(gang.id);
        if (wholeRun !== undefined && runs.includes(wholeRun)) {
            this.recorder.breakGang(gang.id, wholeRun);
        }
    }

    /** Returns whether all members of a gang have run for their time, in the same run. */
    private isGangOver(gang: InnocentJob): boolean {
        return this.isWhole(gang)
            && this.listMembers(gang).every(({ startedAt }) =>
                this.harness.clock.now - startedAt >= gang.runMs
            );
    }

    private isWhole(gang: InnocentJob): boolean {
        const members = this.listMembers(gang);
        return members.length === gang.taskCount && members.every(({ run }) => run === members[0]!.run);
    }

    private listMembers({ id }: InnocentJob): readonly GangMember[] {
        return [...this.harness.workers.values()].flatMap(worker =>
            [...worker.running.values()].filter(({ task }) => task.job === id)
        );
    }

    private choose([first, last]: Range): number {
        return first + Math.floor(this.random() * (last - first + 1));
    }
}

function getSlowness({ report }: FakeWorker): number {
    return Number(report.machine.slice(1)) % MACHINES_PER_SLOW_ONE === MACHINES_PER_SLOW_ONE - 1
        ? SLOW_FACTOR
        : 1;
}
