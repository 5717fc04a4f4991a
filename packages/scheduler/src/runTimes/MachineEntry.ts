/**
 * Knowledge of one machine. Its effect is the logarithm of its relative run time, with 0 as the expected value of a
 * machine without evidence.
 */
export type MachineEntry = {
    /** Expected effect. */
    effect: number;
    /** Variance of the effect, given the evidence. */
    variance: number;
    /** Weight of the evidence of steps that are no longer refitted, as an inverse variance. */
    settledWeight: number;
    /** Sum of that evidence, weighted. */
    settledSum: number;
    /** Monotonic time up to which the settled evidence has lost weight, in milliseconds. */
    settledAt: number;
    /** Weight of all evidence as of the last refit, as an inverse variance; exported with the machine. */
    totalWeight: number;
    /** Sum of that evidence, weighted. */
    totalSum: number;
    /** Monotonic time at which the machine last had a listed worker, in milliseconds. */
    lastListedAt: number;
};

/**
 * Creates the entry of a machine without evidence.
 *
 * @param variance - Variance of the effects of machines.
 * @param now - Monotonic time in milliseconds.
 * @returns The entry.
 */
export function createMachineEntry(variance: number, now: number): MachineEntry {
    return {
        effect: 0,
        variance,
        settledWeight: 0,
        settledSum: 0,
        settledAt: now,
        totalWeight: 0,
        totalSum: 0,
        lastListedAt: now,
    };
}
