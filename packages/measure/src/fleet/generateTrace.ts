import { StepSchema } from "@balsamward/schema/scheduling";
import type { Step } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { createBurstCalendar } from "./createBurstCalendar.js";
import type { JobKind, JobShape, Workload } from "./Workload.js";
import { JOB_KINDS } from "./Workload.js";

/** A job of a trace. */
export type TraceJob = {
    readonly kind: JobKind;
    /** Number of the customer, from 0. */
    readonly customer: number;
    /** Time of its arrival since the start of the trace, in milliseconds. */
    readonly arrivalMs: number;
    readonly steps: readonly TraceStep[];
};

/** A step of a job, with the true run times of its tasks on a typical worker, which may differ from the estimate. */
export type TraceStep = {
    readonly spec: Step;
    readonly runMs: number;
    /** Run time of each task, as a multiple of `runMs`. */
    readonly taskFactors: readonly TaskFactors[];
};

/** Multiples of its step's run time that a task takes in its first run and in any later one. */
export type TaskFactors = { readonly first: number; readonly later: number };

/** Options of `generateTrace`. */
export type GenerateTraceOptions = {
    readonly workload: Workload;
    readonly seed: number;
    readonly workerCount: number;
    readonly rackCount: number;
    readonly durationMs: number;
    /** Factor on the rate of all jobs. */
    readonly load: number;
};

/** Largest factor by which an estimate is wrong, either way. */
const MAX_ESTIMATE_ERROR = 1.5;

/** Factor by which the run of an outlier takes longer. */
const OUTLIER_FACTOR = 7;

const MEMORY_PER_TASK_MB = 4_096;

/**
 * Generates arrivals of jobs: each kind as a Poisson process, with widths, run times and requests spread around the
 * kind's means. The same options generate the same trace.
 *
 * @param options - Workload, seed, size of the fleet, duration in milliseconds and load.
 * @returns The jobs, ordered by arrival.
 */
export function generateTrace(options: GenerateTraceOptions): readonly TraceJob[] {
    const { workload, seed, workerCount, durationMs, load } = options;
    const generator = xoroshiro128plus(seed);
    const random = (): number => uniformFloat64(generator);
    const calendar = createBurstCalendar(workload, durationMs, random);
    const jobs: TraceJob[] = [];
    for (const kind of JOB_KINDS) {
        const meanGapMs = 1_000 / (workload.shapes[kind].rate * workerCount * load * calendar.maxFactor);
        let arrivalMs = -Math.log(1 - random()) * meanGapMs;
        while (arrivalMs < durationMs) {
            const customer = calendar.chooseCustomer(arrivalMs);
            if (customer !== undefined) {
                jobs.push({ kind, customer, arrivalMs, steps: generateSteps(options, kind, random) });
            }
            arrivalMs += -Math.log(1 - random()) * meanGapMs;
        }
    }
    return jobs.sort((left, right) => left.arrivalMs - right.arrivalMs);
}

function generateSteps(
    options: GenerateTraceOptions,
    kind: JobKind,
    random: () => number,
): readonly TraceStep[] {
    const shape = options.workload.shapes[kind];
    const first = generateStep(options, shape, random);
    const hasSecond = shape.secondStepShare > 0 && random() < shape.secondStepShare;
    if (!hasSecond) {
        return [first];
    }
    const second = generateStep(options, shape, random);
    second.spec.after = [0];
    return [first, second];
}

function generateStep(
    { workload, rackCount }: GenerateTraceOptions,
    shape: JobShape,
    random: () => number,
): TraceStep {
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
        copiesAllowed: !shape.isGang && workload.outlierShare > 0,
    });
    if (shape.dataRackShare > 0 && random() < shape.dataRackShare) {
        spec.dataRack = `r${Math.floor(random() * rackCount)}`;
    }
    const taskFactors = Array.from(
        { length: spec.taskCount },
        (): TaskFactors => generateTaskFactors(workload, shape, random),
    );
    return { spec, runMs, taskFactors };
}

function generateTaskFactors(
    { taskSpread, outlierShare }: Workload,
    { isGang }: JobShape,
    random: () => number,
): TaskFactors {
    const later = taskSpread > 0 ? 1 + taskSpread * (2 * random() - 1) : 1;
    const isOutlier = !isGang && outlierShare > 0 && random() < outlierShare;
    return { first: isOutlier ? later * OUTLIER_FACTOR : later, later };
}

/** Chooses a power of two up to a maximum; each is half as likely as the one before it. */
function chooseAccelerators(max: number, random: () => number): number {
    let accelerators = 1;
    while (accelerators < max && random() < 0.5) {
        accelerators *= 2;
    }
    return accelerators;
}
