import type { Bursts, JobShape, Workload } from "./Workload.js";

/** Sizes of customers of which few submit most jobs. */
const UNEQUAL_CUSTOMERS: readonly number[] = [10, 5, 3, 2, 2, 1, 1, 1, 1, 1];

const BURSTS: Bursts = { intervalMs: 15_000, durationMs: 4_000, factor: 2 };

/** What the kinds of jobs have in common in the workloads on large workers. */
const URGENT_GANG = {
    meanTasks: 5,
    meanCpuMillis: 15_000,
    maxAccelerators: 8,
    isGang: true,
    secondStepShare: 0,
    dataRackShare: 0,
    stretch: 1.5,
    objectiveMs: 250,
} as const;

const GANG = {
    meanTasks: 13,
    meanCpuMillis: 52_000,
    maxAccelerators: 8,
    isGang: true,
    secondStepShare: 0,
    dataRackShare: 0,
    stretch: 3,
    objectiveMs: 1_000,
} as const;

const WIDE = {
    meanTasks: 39,
    meanCpuMillis: 11_000,
    maxAccelerators: 1,
    isGang: false,
    secondStepShare: 0.3,
    dataRackShare: 0.5,
    stretch: 3,
    objectiveMs: 3_000,
} as const;

const LARGE_WORKERS = {
    cpuMillisPerWorker: 128_000,
    memoryMbPerWorker: 524_288,
    customerSizes: UNEQUAL_CUSTOMERS,
    bursts: BURSTS,
    taskSpread: 0.26,
    outlierShare: 0.03,
} as const;

/** Steady jobs of equal customers on equal workers. */
export const EVEN_WORKLOAD: Workload = {
    name: "equal workers",
    cpuMillisPerWorker: 32_000,
    memoryMbPerWorker: 65_536,
    relativeRunTimes: [1],
    shapes: {
        urgent: createEvenShape({
            rate: 0.032,
            meanTasks: 5,
            meanRunMs: 2_500,
            meanCpuMillis: 3_700,
            maxAccelerators: 8,
            objectiveMs: 250,
        }),
        gang: createEvenShape({
            rate: 0.0063,
            meanTasks: 13,
            meanRunMs: 8_500,
            meanCpuMillis: 13_000,
            maxAccelerators: 8,
            isGang: true,
            objectiveMs: 1_000,
        }),
        wide: createEvenShape({
            rate: 0.0062,
            meanTasks: 38,
            meanRunMs: 7_600,
            meanCpuMillis: 2_800,
            maxAccelerators: 1,
            objectiveMs: 3_000,
        }),
    },
    customerSizes: [1],
    bursts: undefined,
    taskSpread: 0,
    outlierShare: 0,
};

/** Workloads with bursts of unequal customers on workers of unequal speed. */
export const UNEVEN_WORKLOADS: readonly Workload[] = [
    {
        ...LARGE_WORKERS,
        name: "three speeds",
        relativeRunTimes: [0.6, 1, 1.65],
        shapes: {
            urgent: { ...URGENT_GANG, rate: 0.0149, meanRunMs: 2_100 },
            gang: { ...GANG, rate: 0.0028, meanRunMs: 9_400 },
            wide: { ...WIDE, rate: 0.0043, meanRunMs: 5_200 },
        },
    },
    {
        ...LARGE_WORKERS,
        name: "a slow third",
        relativeRunTimes: [1, 1, 1.3],
        shapes: {
            urgent: { ...URGENT_GANG, rate: 0.0204, meanRunMs: 2_500 },
            gang: { ...GANG, rate: 0.006, meanRunMs: 6_800 },
            wide: { ...WIDE, rate: 0.0038, meanRunMs: 9_500 },
        },
    },
];

function createEvenShape(
    shape: Omit<JobShape, "isGang" | "secondStepShare" | "dataRackShare" | "stretch"> & Partial<JobShape>,
): JobShape {
    return { isGang: false, secondStepShare: 0, dataRackShare: 0, stretch: 2, ...shape };
}
