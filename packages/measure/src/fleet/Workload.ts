/** Kind of the jobs of a trace: small urgent jobs, gangs in one rack, or wide jobs of low priority. */
export type JobKind = "urgent" | "gang" | "wide";

/** Job kinds by descending priority. */
export const JOB_KINDS: readonly JobKind[] = ["urgent", "gang", "wide"];

/** What the jobs of one kind have in common. */
export type JobShape = {
    /** Jobs a second for each worker. */
    readonly rate: number;
    readonly meanTasks: number;
    readonly meanRunMs: number;
    readonly meanCpuMillis: number;
    readonly maxAccelerators: number;
    readonly isGang: boolean;
    /** Share of the jobs that have a second step after the first. */
    readonly secondStepShare: number;
    /** Share of the jobs whose data is in one rack. */
    readonly dataRackShare: number;
    /** Target duration of a job, as a multiple of its longest chain of work. */
    readonly stretch: number;
    /** Time added to the target duration, in milliseconds. */
    readonly objectiveMs: number;
};

/** Times of some seconds in which one customer submits many jobs. */
export type Bursts = {
    /** Time from one burst to the next, in milliseconds. */
    readonly intervalMs: number;
    readonly durationMs: number;
    /** Jobs of the burst's customer for each job of all customers. */
    readonly factor: number;
};

/** The jobs that callers submit, and the workers that run them. */
export type Workload = {
    readonly name: string;
    readonly cpuMillisPerWorker: number;
    readonly memoryMbPerWorker: number;
    /** Relative run times that the workers have in turn. */
    readonly relativeRunTimes: readonly number[];
    readonly shapes: Readonly<Record<JobKind, JobShape>>;
    /** Sizes of the customers relative to each other. */
    readonly customerSizes: readonly number[];
    readonly bursts: Bursts | undefined;
    /** Largest deviation of a task's run time from that of its step, as a share of it. */
    readonly taskSpread: number;
    /** Share of the tasks outside gangs whose first run takes much longer than expected. */
    readonly outlierShare: number;
};
