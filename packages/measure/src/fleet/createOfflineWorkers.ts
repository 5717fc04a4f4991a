import type { StartOrder, StopOrder, WorkerPort } from "@balsamward/scheduler";

/** Time that a worker needs to stop a run, in milliseconds. */
const STOP_MS = 200;

/** A run that an offline worker executes. */
export type Execution = {
    readonly order: StartOrder;
    readonly workerId: string;
    readonly startedAt: number;
    endsAt: number;
    isStopped: boolean;
};

/** Workers without processes, which answer every order at once. */
export type OfflineWorkers = {
    readonly port: WorkerPort;
    /** Removes and returns the executions that have ended by now. */
    readonly takeEnded: () => readonly Execution[];
    /** Returns when the next execution ends, in milliseconds; infinity if there is none. */
    readonly findNextEnd: () => number;
};

/** Dependencies of `createOfflineWorkers`. */
export type OfflineWorkersDependencies = {
    /** Returns the logical time in milliseconds. */
    readonly clock: () => number;
    /** Returns the true run time of a started task, in milliseconds. */
    readonly getRunMs: (order: StartOrder) => number;
};

/**
 * Creates workers that execute runs on a logical clock.
 *
 * @param dependencies - The clock, and the run times of tasks.
 * @returns The workers, without executions.
 */
export function createOfflineWorkers({ clock, getRunMs }: OfflineWorkersDependencies): OfflineWorkers {
    const executions = new Map<string, Execution>();
    const answeredWorkers = new Set<string>();
    return {
        port: {
            start: async ({ id }, order) => {
                const startedAt = clock();
                const endsAt = startedAt + getRunMs(order);
                executions.set(composeKey(order), {
                    order,
                    workerId: id,
                    startedAt,
                    endsAt,
                    isStopped: false,
                });
                return { kind: "done", clockMs: clock() };
            },
            stop: async (_target, order) => {
                const execution = executions.get(composeKey(order));
                if (execution !== undefined && !execution.isStopped) {
                    execution.isStopped = true;
                    execution.endsAt = clock() + STOP_MS;
                }
                return { kind: "done", clockMs: clock() };
            },
            pace: async () => ({ kind: "done", clockMs: clock() }),
            // Ends are reported without holds, so only the first one, which makes a worker known, is answered.
            hold: async ({ id }) => {
                if (answeredWorkers.has(id)) {
                    return new Promise(() => {});
                }
                answeredWorkers.add(id);
                return {
                    kind: "held",
                    answer: { clockMs: clock(), bornMs: 1, running: [], ended: [], listsAllEnds: true },
                };
            },
            closeConnections: () => {},
        },
        takeEnded: () => {
            const ended = [...executions].filter(([, { endsAt }]) => endsAt <= clock());
            ended.forEach(([key]) => executions.delete(key));
            return ended.map(([, execution]) => execution);
        },
        findNextEnd: () =>
            [...executions.values()].reduce(
                (next, { endsAt }) => Math.min(next, endsAt),
                Number.POSITIVE_INFINITY,
            ),
    };
}

function composeKey({ task, run }: Pick<StopOrder, "task" | "run">): string {
    return `${task.job}.${task.occurrence}.${task.step}.${task.index}.${run}`;
}
