const STEP_MS = 50;
const EVENT_LOOP_TURNS_PER_STEP = 4;

type Timer = { readonly dueAt: number; readonly wake: () => void };

/** A clock that moves only when a test moves it. */
export class FakeClock {
    /** Time in milliseconds since the epoch. */
    now = 1_000_000;
    private timers: Timer[] = [];

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
            this.timers.push({ dueAt: this.now + ms, wake });
            signal?.addEventListener("abort", wake, { once: true });
        });

    /** Moves the time in small steps, and lets all that is due run after each. */
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
