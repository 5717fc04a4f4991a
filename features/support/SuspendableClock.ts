import type { FakeClock } from "./FakeClock.js";

/** The clock of a process that a test can suspend: while it is suspended, none of its waits ends. */
export class SuspendableClock {
    private suspendedAt: number | undefined;
    private standsStill = false;
    private missedMs = 0;
    private wakers: (() => void)[] = [];

    /**
     * Creates the clock of a process that runs.
     *
     * @param base - The clock that the test advances.
     */
    constructor(private readonly base: FakeClock) {}

    /** Whether the process is suspended. */
    get isSuspended(): boolean {
        return this.suspendedAt !== undefined;
    }

    /** Current time of the process in milliseconds. */
    get now(): number {
        const standingMs = this.standsStill && this.suspendedAt !== undefined
            ? this.base.now - this.suspendedAt
            : 0;
        return this.base.now - this.missedMs - standingMs;
    }

    /** Waits until the process runs and its clock has advanced by `ms` milliseconds, or the signal is aborted. */
    pause = async (ms: number, signal?: AbortSignal): Promise<void> => {
        const dueAt = this.now + ms;
        await this.base.pause(ms, signal);
        await this.waitUntilAwake();
        while (!signal?.aborted && this.now < dueAt) {
            await this.base.pause(dueAt - this.now, signal);
            await this.waitUntilAwake();
        }
    };

    /** Waits until the process runs. */
    async waitUntilAwake(): Promise<void> {
        while (this.suspendedAt !== undefined) {
            await new Promise<void>(resolve => this.wakers.push(resolve));
        }
    }

    /** Delays the result of a call until the process runs. */
    async receive<T>(call: PromiseLike<T>): Promise<T> {
        const result = await call;
        await this.waitUntilAwake();
        return result;
    }

    /**
     * Suspends the process.
     *
     * @param standsStill - Whether its clock stands still meanwhile.
     */
    suspend(standsStill: boolean): void {
        if (this.suspendedAt === undefined) {
            this.suspendedAt = this.base.now;
            this.standsStill = standsStill;
        }
    }

    /** Lets the process run again. */
    resume(): void {
        this.missedMs += this.standsStill ? this.base.now - (this.suspendedAt ?? this.base.now) : 0;
        this.suspendedAt = undefined;
        this.wakers.splice(0).forEach(wake => wake());
    }
}
