import type { WorkerId, WorkerReport } from "@balsamward/scheduler";

const WORKER_CPU_MILLIS = 32_000;
const WORKER_MEMORY_MB = 131_072;
const WORKER_ACCELERATORS = 8;
const WORKERS_PER_RACK = 4;

/**
 * Creates the report of a worker on its own machine, with four workers in a rack.
 *
 * @param number - The worker's number, from 0; its id, address, rack and machine follow from it.
 * @returns The report.
 */
export function createWorkerReport(number: number): WorkerReport {
    const rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    return {
        id: `w${number}` as WorkerId,
        address: `10.0.0.${number + 1}:80`,
        service: "service",
        dataCentre: "here",
        draining: false,
        remainingMs: 0,
        bornMs: 1,
        coldMs: 0,
        capacity: {
            $typeName: "balsamward.scheduling.v1.Resources",
            cpuMillis: WORKER_CPU_MILLIS,
            memoryMb: WORKER_MEMORY_MB,
            accelerators: WORKER_ACCELERATORS,
        },
        labels: ["a", rack],
        rack,
        machine: `m${number}`,
    };
}
