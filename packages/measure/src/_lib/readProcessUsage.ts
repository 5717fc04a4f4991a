import { readFileSync } from "node:fs";

const CLOCK_TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1_024;

/**
 * Returns the processor time that a process has used.
 *
 * @param pid - The process.
 * @returns User and system time in milliseconds.
 */
export function readCpuMs(pid: number): number {
    const fields = readFileSync(`/proc/${pid}/stat`, "utf8").replace(/^.*\) /, "").split(" ");
    return (Number(fields[11]) + Number(fields[12])) * 1_000 / CLOCK_TICKS_PER_SECOND;
}

/**
 * Returns the resident memory of a process.
 *
 * @param pid - The process.
 * @returns The memory in megabytes.
 */
export function readResidentMb(pid: number): number {
    const match = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, "utf8"));
    return Number(match?.[1] ?? 0) * BYTES_PER_KIB / 1e6;
}
