import type { Workload } from "./Workload.js";

/** Which customers submit how many jobs at which time of a trace. */
export type BurstCalendar = {
    /** The highest rate of jobs as a multiple of the usual rate. */
    readonly maxFactor: number;
    /**
     * Chooses the customer of a job that arrives at the highest rate; `undefined` if no job arrives, as the rate is
     * lower at this time.
     */
    readonly chooseCustomer: (arrivalMs: number) => number | undefined;
};

/**
 * Creates the calendar of a trace. One burst begins at a random time of each interval, and its customer is chosen by
 * size, so that large customers burst more often.
 *
 * @param workload - The customers and the bursts.
 * @param durationMs - The duration of the trace in milliseconds.
 * @param random - Returns random numbers from 0 to 1.
 * @returns The calendar.
 */
export function createBurstCalendar(
    { customerSizes, bursts }: Workload,
    durationMs: number,
    random: () => number,
): BurstCalendar {
    const chooseBySize = (): number => customerSizes.length === 1 ? 0 : chooseIndex(customerSizes, random);
    if (bursts === undefined) {
        return { maxFactor: 1, chooseCustomer: chooseBySize };
    }
    const { intervalMs, durationMs: burstMs, factor } = bursts;
    const planned = Array.from({ length: Math.ceil(durationMs / intervalMs) }, (_, number) => ({
        beginsAt: number * intervalMs + random() * (intervalMs - burstMs),
        customer: chooseBySize(),
    }));
    const maxFactor = 1 + factor;
    return {
        maxFactor,
        chooseCustomer: arrivalMs => {
            const share = random() * maxFactor;
            if (share < 1) {
                return chooseBySize();
            }
            return planned.find(({ beginsAt }) => arrivalMs >= beginsAt && arrivalMs < beginsAt + burstMs)
                ?.customer;
        },
    };
}

function chooseIndex(sizes: readonly number[], random: () => number): number {
    let rest = random() * sizes.reduce((sum, size) => sum + size, 0);
    return Math.max(0, sizes.findIndex(size => (rest -= size) < 0));
}
