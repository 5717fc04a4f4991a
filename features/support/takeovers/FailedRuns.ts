import type { JobId, TaskName } from "@balsamward/scheduler";
import { JobSchema, JobState, ProgressSchema } from "@balsamward/schema/scheduling";
import { fromBinary } from "@bufbuild/protobuf";
import { storeKeys } from "../../../packages/scheduler/src/storeKeys.js";
import type { SchedulerTestHarness } from "../SchedulerTestHarness.js";

/** Records which runs have ended as failed, and which jobs are shown as failed before that is so often enough. */
export class FailedRuns {
    /** Jobs that were shown as failed. */
    readonly failedJobs = new Set<JobId>();
    /** Those of them of which no task had failed so often. */
    readonly earlyFailures = new Set<JobId>();
    /** Numbers of the failed runs by job, and by the name of the task or of the gang's step. */
    private readonly runs = new Map<JobId, Map<string, Set<number>>>();

    constructor(private readonly harness: SchedulerTestHarness, private readonly attempts: number) {}

    /** Records that a run has ended as failed; tasks that last may fail at any time. */
    add({ job, occurrence, step, index }: TaskName, run: number): void {
        const spec = fromBinary(JobSchema, this.harness.store.get(storeKeys.job(job))!.value).steps[step]!;
        if (!spec.lasting) {
            const unit = [occurrence, step, ...(spec.gang ? [] : [index])].join(".");
            const units = this.runs.get(job) ?? new Map<string, Set<number>>();
            this.runs.set(job, units.set(unit, (units.get(unit) ?? new Set()).add(run)));
        }
    }

    /** Records which jobs the latest owner or the store shows as failed now. */
    check(jobs: readonly JobId[]): void {
        for (const id of jobs.filter(id => !this.failedJobs.has(id) && this.isShownAsFailed(id))) {
            this.failedJobs.add(id);
            const counts = [...this.runs.get(id)?.values() ?? []].map(numbers => numbers.size);
            if (Math.max(0, ...counts) < this.attempts) {
                this.earlyFailures.add(id);
            }
        }
    }

    private isShownAsFailed(id: JobId): boolean {
        const item = this.harness.store.get(storeKeys.progress(id));
        return this.harness.stateOf(id) === "failed"
            || item !== undefined && fromBinary(ProgressSchema, item.value).state === JobState.FAILED;
    }
}
