import type { WorkerId } from "@balsamward/scheduler";
import { FakeWorker } from "@balsamward/stand-ins";
import type { SchedulerTestHarness } from "../SchedulerTestHarness.js";

/** A crash of a worker under a task. */
type Crash = { readonly task: string; readonly at: number };

/** Records the starts of tasks and the crashes under them, also those of workers that have left. */
export class CrashRecorder {
    /** All workers that there have been, with the number of their starts that are recorded. */
    private readonly recordedStarts = new Map<FakeWorker, number>();
    private readonly crashes: Crash[] = [];
    private readonly startTimes = new Map<string, number[]>();
    private replacementCount = 0;

    /**
     * Records what happens to the workers of a harness from now on.
     *
     * @param harness - The harness.
     * @param mayReplace - Whether a worker that crashes now comes back under a new id on its machine.
     */
    constructor(
        private readonly harness: SchedulerTestHarness,
        private readonly mayReplace: () => boolean = () => false,
    ) {
        harness.workers.forEach(worker => this.addWorker(worker));
    }

    /** Returns the tasks that were started, by name. */
    get startedTasks(): readonly string[] {
        return [...this.startTimes.keys()];
    }

    /** Returns how often a task was started. */
    countStarts(task: string): number {
        return this.startTimes.get(task)?.length ?? 0;
    }

    /** Returns how many workers have crashed under a task. */
    countCrashes(task: string): number {
        return this.crashes.filter(crash => crash.task === task).length;
    }

    /** Returns how often a task was started after so many workers had crashed under it. */
    countStartsAfterCrashes(task: string, crashCount: number): number {
        const crash = this.crashes.filter(candidate => candidate.task === task)[crashCount - 1];
        return crash === undefined
            ? 0
            : (this.startTimes.get(task) ?? []).filter(startedAt => startedAt > crash.at).length;
    }

    /** Advances the clock; a gang ends on its other workers when one of them crashes under a member. */
    async advance(ms: number, stepMs = 100): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += stepMs) {
            await this.harness.advance(stepMs);
            this.recordStarts();
            this.replaceWorkers();
        }
    }

    /** Ends the runs of a gang on its other workers as broken, as workers do once a member is gone. */
    breakGang(job: string, run: number): void {
        this.harness.workers.forEach(worker => {
            const members = [...worker.running].filter(([name, { run: number }]) =>
                name.startsWith(`${job}.`) && number === run
            );
            members.forEach(([name]) => worker.endRun(name, "broken"));
        });
    }

    private addWorker(worker: FakeWorker): void {
        this.recordedStarts.set(worker, worker.starts.length);
        const crash = worker.crash.bind(worker);
        worker.crash = () => {
            const lost = [...worker.running];
            lost.forEach(([task]) => this.crashes.push({ task, at: this.harness.clock.now }));
            if (this.mayReplace()) {
                this.leaving.set(worker, this.harness.clock.now + worker.downtimeMs);
                worker.downtimeMs = Number.POSITIVE_INFINITY;
            }
            crash();
            lost.filter(([, { task }]) => this.gangJobs.has(task.job))
                .forEach(([, { task, run }]) => this.breakGang(task.job, run));
        };
    }

    /** Ids of the jobs that are gangs. */
    readonly gangJobs = new Set<string>();

    /** Crashed workers whose machine gets a new worker, with the time of that. */
    private readonly leaving = new Map<FakeWorker, number>();

    private recordStarts(): void {
        for (const [worker, recorded] of this.recordedStarts) {
            for (const { task } of worker.starts.slice(recorded)) {
                const name = [task.job, task.occurrence, task.step, task.index].join(".");
                this.startTimes.set(name, [...this.startTimes.get(name) ?? [], this.harness.clock.now]);
            }
            this.recordedStarts.set(worker, worker.starts.length);
        }
    }

    private replaceWorkers(): void {
        for (const [worker, backAt] of this.leaving) {
            if (backAt > this.harness.clock.now) {
                continue;
            }
            this.leaving.delete(worker);
            this.replacementCount += 1;
            this.harness.workers.delete(worker.id);
            const next = new FakeWorker({
                ...worker.report,
                id: `${worker.id}-${this.replacementCount}` as WorkerId,
                address: `10.0.1.${this.replacementCount}:80`,
                bornMs: worker.bornMs + 1,
            }, () => this.harness.clock.now);
            next.deadlyTasks = this.harness.deadlyTasks;
            next.getRequest = worker.getRequest;
            this.harness.workers.set(next.id, next);
            this.addWorker(next);
        }
    }
}
