import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;

/**
 * Reads the processor time used by a process from `/proc`.
 *
 * @param pid - The process id.
 * @returns The user and system time in milliseconds.
 */
export function readCpuMs(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").replace(/^.*\) /, "").split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 1_000 / CLOCK_TICKS_PER_SECOND;
}

/**
 * Reads the resident memory of a process from `/proc`.
 *
 * @param pid - The process id.
 * @returns The memory in megabytes (10^6 bytes).
 */
export function readResidentMb(pid: number): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1] ?? 0) * BYTES_PER_KIB / 1e6;
}
