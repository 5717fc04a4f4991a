import type { WorkerReport } from "@balsamward/scheduler";

type Capacity = WorkerReport["capacity"];

const KINDS = ["cpuMillis", "memoryMb", "accelerators"] as const satisfies readonly (keyof Capacity)[];

/** What a task needs; a kind of resource that is not given is not needed. */
export type TaskRequest = Partial<Pick<Capacity, (typeof KINDS)[number]>>;

/**
 * Returns whether tasks need more than a capacity.
 *
 * @param requests - What each of the tasks needs.
 * @param capacity - The capacity.
 * @returns Whether the sum of at least one kind of resource is above the capacity.
 */
export function isOverCapacity(requests: readonly TaskRequest[], capacity: Capacity): boolean {
    return KINDS.some(kind =>
        requests.reduce((sum, request) => sum + (request[kind] ?? 0), 0) > capacity[kind]
    );
}
