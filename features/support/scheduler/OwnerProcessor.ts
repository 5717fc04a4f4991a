import type { FakeClock } from "../FakeClock.js";

/** The processor of an owner's process, which handles one order after the other. */
export class OwnerProcessor {
    /** Processor time that an order takes, in milliseconds. */
    orderMs = 0;
    private freeAt = 0;

    /**
     * Creates a processor on which orders take no time.
     *
     * @param clock - The clock that the test advances.
     */
    constructor(private readonly clock: FakeClock) {}

    /**
     * Waits until an order is handled.
     *
     * @param timeoutMs - Time after which the caller gives the order up, in milliseconds.
     * @returns Whether the order was handled in time.
     */
    async handleOrder(timeoutMs: number): Promise<boolean> {
        const startedAt = Math.max(this.clock.now, this.freeAt);
        this.freeAt = startedAt + this.orderMs;
        const waitMs = this.freeAt - this.clock.now;
        if (waitMs > 0) {
            await this.clock.pause(Math.min(waitMs, timeoutMs));
        }
        return waitMs <= timeoutMs;
    }
}
