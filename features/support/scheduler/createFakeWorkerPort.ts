import type { HoldOutcome, OrderOutcome, WorkerId, WorkerPort, WorkerTarget } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import { UNANSWERED } from "@balsamward/stand-ins";
import type { FakeClock } from "../FakeClock.js";
import type { SuspendableClock } from "../SuspendableClock.js";
import type { OwnerProcessor } from "./OwnerProcessor.js";

const ORDER_TIMEOUT_MS = 400;

/** Time after which a call to a worker that is cut off ends without a connection, in milliseconds. */
const CONNECT_TIMEOUT_MS = 300;

/** Longest time for which a hold waits, whether or not a run has ended, in milliseconds. */
const MAX_HOLD_WAIT_MS = 100;

/** Options of `createFakeWorkerPort`. */
export type FakeWorkerPortOptions = {
    readonly workers: ReadonlyMap<WorkerId, FakeWorker>;
    /** Workers that the owner cannot reach, although others can. */
    readonly unreachableWorkers: ReadonlySet<WorkerId>;
    /** The clock that the test advances. */
    readonly baseClock: FakeClock;
    /** Clock of the owner's process. */
    readonly clock: SuspendableClock;
    /** Processor of the owner's process. */
    readonly processor: OwnerProcessor;
    readonly onConnectionsClosed: (address: string) => void;
};

/**
 * Creates the port through which an owner's process calls the fake workers.
 *
 * @param options - The workers, the clocks, and what the owner cannot reach.
 * @returns The port, whose answers reach the process only while it runs.
 */
export function createFakeWorkerPort(
    { workers, unreachableWorkers, baseClock, clock, processor, onConnectionsClosed }: FakeWorkerPortOptions,
): WorkerPort {
    const findWorker = (id: WorkerId): FakeWorker | undefined =>
        unreachableWorkers.has(id) ? undefined : workers.get(id);
    const refuseFor = ({ id, address }: WorkerTarget): OrderOutcome & HoldOutcome =>
        [...workers.values()].some(({ report }) =>
                report.address === address && report.id !== id && !unreachableWorkers.has(report.id)
            )
            ? { kind: "other-life" }
            : { kind: "unreachable", cause: "gone" };
    const sendOrder = async (
        target: WorkerTarget,
        action: (worker: FakeWorker) => OrderOutcome,
    ): Promise<OrderOutcome> => {
        if (unreachableWorkers.has(target.id)) {
            await baseClock.pause(CONNECT_TIMEOUT_MS);
        }
        const worker = findWorker(target.id);
        const outcome: OrderOutcome = worker === undefined ? refuseFor(target) : action(worker);
        if (outcome.kind === "unclear" && outcome.cause === UNANSWERED) {
            await baseClock.pause(ORDER_TIMEOUT_MS);
        }
        const isInTime = await processor.handleOrder(ORDER_TIMEOUT_MS);
        await clock.waitUntilAwake();
        return isInTime ? outcome : { kind: "unclear", cause: "the answer was read too late" };
    };
    return {
        start: (target, start) => sendOrder(target, worker => worker.start(start)),
        stop: (target, stop) => sendOrder(target, worker => worker.stop(stop)),
        pace: (target, pace) => sendOrder(target, worker => worker.pace(pace)),
        hold: async (target, hold, signal): Promise<HoldOutcome> => {
            if (unreachableWorkers.has(target.id)) {
                await baseClock.pause(CONNECT_TIMEOUT_MS, signal);
            }
            const worker = findWorker(target.id);
            if (worker === undefined) {
                return refuseFor(target);
            }
            await baseClock.pause(Math.min(hold.waitMs, MAX_HOLD_WAIT_MS), signal);
            return clock.receive(Promise.resolve(worker.hold(hold)));
        },
        closeConnections: onConnectionsClosed,
    };
}
