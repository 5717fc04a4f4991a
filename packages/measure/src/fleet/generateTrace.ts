import { StepSchema } from "@balsamward/schema/scheduling";
import type { Step } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Kind of the jobs of a trace: small urgent jobs, gangs in one rack, or wide jobs of low priority. */
export type JobKind = "urgent" | "gang" | "wide";

/** A job of a trace. */
export type TraceJob = {
    readonly kind: JobKind;
    /** Time of its arrival since the start of the trace, in milliseconds. */
    readonly arrivalMs: number;
    readonly steps: readonly TraceStep[];
};

/** A step of a job, with the true run time of each of its tasks, which may differ from the estimate. */
export type TraceStep = { readonly spec: Step; readonly runMs: number };

/** Options of `generateTrace`. */
export type GenerateTraceOptions = {
    readonly seed: number;
    readonly workerCount: number;
    readonly durationMs: number;
    /** Factor on the rate of all jobs; 1 uses about two thirds of the fleet. */
    readonly load: number;
};

/** What the jobs of one kind have in common. */
type JobShape = {
    /** Jobs a second for each worker. */
    readonly rate: number;
    readonly meanTasks: number;
    readonly meanRunMs: number;
    readonly meanCpuMillis: number;
    readonly maxAccelerators: number;
    readonly isGang: boolean;
};

const JOB_SHAPES: Readonly<Record<JobKind, JobShape>> = {
    urgent: {
        rate: 0.032,
        meanTasks: 5,
        meanRunMs: 2_500,
        meanCpuMillis: 3_700,
        maxAccelerators: 8,
        isGang: false,
    },
    gang: {
        rate: 0.0063,
        meanTasks: 13,
        meanRunMs: 8_500,
        meanCpuMillis: 13_000,
        maxAccelerators: 8,
        isGang: true,
    },
    wide: {
        rate: 0.0062,
        meanTasks: 38,
        meanRunMs: 7_600,
        meanCpuMillis: 2_800,
        maxAccelerators: 1,
        isGang: false,
    },
};

/** Largest factor by which an estimate is wrong, either way. */
const MAX_ESTIMATE_ERROR = 1.5;

const MEMORY_PER_TASK_MB = 4_096;

/** Job kinds by descending priority. */
export const JOB_KINDS: readonly JobKind[] = ["urgent", "gang", "wide"];

/**
 * Generates arrivals of jobs: each kind as a Poisson process, with widths, run times and requests spread around the
 * kind's means. The same options generate the same trace.
 *
 * @param options - Seed, size of the fleet, duration in milliseconds and load.
 * @returns The jobs, ordered by arrival.
 */
export function generateTrace(
    { seed, workerCount, durationMs, load }: GenerateTraceOptions,
): readonly TraceJob[] {
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const jobs: TraceJob[] = [];
    for (const kind of JOB_KINDS) {
        const meanGapMs = 1_000 / (JOB_SHAPES[kind].rate * workerCount * load);
        let arrivalMs = -Math.log(1 - random()) * meanGapMs;
        while (arrivalMs < durationMs) {
            jobs.push({ kind, arrivalMs, steps: [generateStep(JOB_SHAPES[kind], random)] });
            arrivalMs += -Math.log(1 - random()) * meanGapMs;
        }
    }
    return jobs.sort((left, right) => left.arrivalMs - right.arrivalMs);
}

function generateStep(shape: JobShape, random: () => number): TraceStep {
    const runMs = shape.meanRunMs * (0.5 + random());
    const spec = create(StepSchema, {
        taskCount: Math.max(1, Math.round(shape.meanTasks * (0.4 + 1.2 * random()))),
        request: {
            cpuMillis: Math.round(shape.meanCpuMillis * (0.6 + 0.8 * random())),
            memoryMb: MEMORY_PER_TASK_MB,
            accelerators: chooseAccelerators(shape.maxAccelerators, random),
        },
        estimatedMs: runMs * MAX_ESTIMATE_ERROR ** (2 * random() - 1),
        gang: shape.isGang,
        sameRack: shape.isGang,
        checkpoints: shape.isGang,
    });
    return { spec, runMs };
}

/** Chooses a power of two up to a maximum; each is half as likely as the one before it. */
function chooseAccelerators(max: number, random: () => number): number {
    let accelerators = 1;
    while (accelerators < max && random() < 0.5) {
        accelerators *= 2;
    }
    return accelerators;
}
