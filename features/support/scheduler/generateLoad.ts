import type { Random } from "../createRandom.js";
import { choose, createRandom } from "../createRandom.js";
import type { LoadJob } from "./LoadJob.js";

/** What the jobs of one queue have in common. */
export type LoadShape = {
    readonly queue: string;
    /** Customers of the jobs, each as often as it occurs. */
    readonly customers: readonly string[];
    readonly meanGapMs: number;
    /** Number of jobs that arrive together. */
    readonly burst: number;
    readonly tasks: number;
    readonly runMs: number;
    readonly cores: number;
    readonly accelerators: readonly number[];
    readonly gang: boolean;
    readonly checkpoints: boolean;
};

/** Share of the tasks that run seven times as long as the others of their step. */
const SLOW_SHARE = 0.03;

/**
 * Generates the arrivals of jobs, with estimates that are wrong by up to half and tasks whose times differ by 15 %.
 *
 * @param shapes - What arrives.
 * @param durationMs - Time of the last arrival.
 * @param seed - The same seed generates the same load.
 * @returns The jobs by arrival.
 */
export function generateLoad(
    shapes: readonly LoadShape[],
    durationMs: number,
    seed: number,
): readonly LoadJob[] {
    const random = createRandom(seed);
    const jobs: LoadJob[] = [];
    for (const shape of shapes) {
        let arrivalMs = -Math.log(1 - random()) * shape.meanGapMs;
        while (arrivalMs < durationMs) {
            for (let job = 0; job < shape.burst; job++) {
                jobs.push(generateJob(shape, arrivalMs, random));
            }
            arrivalMs += -Math.log(1 - random()) * shape.meanGapMs;
        }
    }
    return jobs.sort((left, right) => left.arrivalMs - right.arrivalMs);
}

function generateJob(shape: LoadShape, arrivalMs: number, random: Random): LoadJob {
    const { queue, customers, tasks, gang, checkpoints, cores } = shape;
    const runMs = shape.runMs * (0.5 + random());
    const taskCount = Math.max(1, Math.round(tasks * (0.6 + 0.8 * random())));
    const runTimesMs = Array.from(
        { length: taskCount },
        () => runMs * (0.85 + 0.3 * random()) * (!gang && random() < SLOW_SHARE ? 7 : 1),
    );
    return {
        arrivalMs,
        queue,
        customer: choose(customers, random),
        spec: {
            taskCount,
            request: {
                cpuMillis: cores * 1_000,
                memoryMb: 1_000,
                accelerators: choose(shape.accelerators, random),
            },
            estimatedMs: runMs * 1.5 ** (2 * random() - 1),
            gang,
            sameRack: gang,
            checkpoints,
        },
        runTimesMs,
    };
}
