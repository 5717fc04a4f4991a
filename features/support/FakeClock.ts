const STEP_MS = 50;
/** Event loop turns after each step, so that chained promises and callbacks settle before the next one. */
const EVENT_LOOP_TURNS_PER_STEP = 4;

type Timer = { readonly dueAt: number; readonly wake: () => void };

/** A clock that advances only when a test advances it. */
export class FakeClock {
    /** Current time in milliseconds. */
    now = 1_000_000;
    private timers: Timer[] = [];

    /** Waits until the clock has advanced by `ms` milliseconds or the signal is aborted. */
    pause = (ms: number, signal?: AbortSignal): Promise<void> =>
        new Promise(resolve => {
            if (signal?.aborted) {
                resolve();
                return;
            }
            const wake = () => {
                signal?.removeEventListener("abort", wake);
                resolve();
            };
            this.timers.push({ dueAt: this.now + ms, wake });
            signal?.addEventListener("abort", wake, { once: true });
        });

    /**
     * Advances the clock in steps of `STEP_MS`, and lets the code that is due run after each step.
     *
     * @param ms - The time in milliseconds, rounded up to whole steps.
     * @param afterStep - Called after each step.
     */
    async advance(ms: number, afterStep: () => void = () => undefined): Promise<void> {
        for (let elapsedMs = 0; elapsedMs < ms; elapsedMs += STEP_MS) {
            this.now += STEP_MS;
            const due = this.timers.filter(timer => timer.dueAt <= this.now);
            this.timers = this.timers.filter(timer => timer.dueAt > this.now);
            due.forEach(timer => timer.wake());
            for (let turn = 0; turn < EVENT_LOOP_TURNS_PER_STEP; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            afterStep();
        }
    }
}
