/** Returns the latest monotonic time before which the process may have been suspended, in milliseconds. */
export type SuspensionDetector = () => number;

/** The clocks of the machine, in milliseconds. */
export type MachineClocks = {
    /** Returns the monotonic time, which may stand still while the machine is suspended. */
    readonly clock: () => number;
    /** Returns the wall time since 1970, which may jump. */
    readonly machineWallClock: () => number;
};

/** Shortest suspension that is detected, in milliseconds. Between two calls, the clocks drift apart by far less. */
const MIN_SUSPENSION_MS = 100;

/**
 * Creates a detector of suspensions during which the monotonic clock stood still: the wall clock has then advanced
 * further. A jump of the wall clock counts as a suspension too.
 *
 * @param clocks - The clocks of the machine.
 * @returns The detector, to be called often; it returns negative infinity as long as no suspension is known.
 *
 * @example
 * const getSuspendedAt = createSuspensionDetector({ clock: () => performance.now(), machineWallClock: Date.now });
 */
export function createSuspensionDetector({ clock, machineWallClock }: MachineClocks): SuspensionDetector {
    let suspendedAt = Number.NEGATIVE_INFINITY;
    let lastOffsetMs = machineWallClock() - clock();
    return () => {
        const now = clock();
        const offsetMs = machineWallClock() - now;
        if (offsetMs - lastOffsetMs >= MIN_SUSPENSION_MS) {
            suspendedAt = now;
        }
        lastOffsetMs = offsetMs;
        return suspendedAt;
    };
}
