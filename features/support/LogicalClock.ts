const STEP_MS = 50;
const TURNS = 4;

type Waiter = { readonly at: number; readonly wake: () => void };

/** A clock that moves only when a test moves it. */
export class LogicalClock {
    /** Time in milliseconds since the epoch. */
    now = 1_000_000;
    private waiters: Waiter[] = [];

    /** Waits for a logical time, or until the signal aborts. */
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
            this.waiters.push({ at: this.now + ms, wake });
            signal?.addEventListener("abort", wake, { once: true });
        });

    /** Moves the time in small steps, and lets all that is due run after each. */
    async advance(ms: number, afterStep: () => void = () => undefined): Promise<void> {
        for (let moved = 0; moved < ms; moved += STEP_MS) {
            this.now += STEP_MS;
            const due = this.waiters.filter(waiter => waiter.at <= this.now);
            this.waiters = this.waiters.filter(waiter => waiter.at > this.now);
            due.forEach(waiter => waiter.wake());
            for (let turn = 0; turn < TURNS; turn++) {
                await new Promise(resolve => setImmediate(resolve));
            }
            afterStep();
        }
    }
}
