import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";
import { awaitIncarnation } from "./awaitIncarnation.js";
import type { Incarnation } from "./identifyIncarnation.js";
import { identifyIncarnation } from "./identifyIncarnation.js";
import { recordClock } from "./workerClock.js";

/** When an order was sent, and the start of the incarnation that it was meant for, as `bornMs`. */
export type SentOrder = { readonly sentAt: number; readonly bornMs: number };

/**
 * Describes an order that is sent to a worker now.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @returns What `applyOrderAnswer` needs to know of the order.
 */
export function describeSentOrder({ clock }: Pick<Scheduler, "clock">, worker: WorkerEntry): SentOrder {
    return { sentAt: clock(), bornMs: worker.bornMs };
}

/**
 * Applies the clock reading in the answer to an order. One of the known incarnation is recorded; after one of a later
 * incarnation, the next hold has to show which that is.
 *
 * @param scheduler - The scheduler.
 * @param worker - The worker.
 * @param clockMs - The clock reading in milliseconds.
 * @param sent - The order.
 * @returns The incarnation that has answered; `either` if another one has become known since the order was sent.
 */
export function applyOrderAnswer(
    { clock, log }: Pick<Scheduler, "clock" | "log">,
    worker: WorkerEntry,
    clockMs: number,
    { sentAt, bornMs }: SentOrder,
): Incarnation {
    const now = clock();
    const incarnation = bornMs === worker.bornMs
        ? identifyIncarnation(worker.clock, clockMs, sentAt, now)
        : "either";
    switch (incarnation) {
        case "known":
            recordClock(worker, { clockMs, sentAt, readAt: now });
            break;
        case "later":
            if (worker.hasAnswered) {
                log.info("The clock in an answer shows that a worker has restarted.", {
                    worker: worker.id,
                    previousBornMs: bornMs,
                    clockMs,
                });
                awaitIncarnation(worker, now);
            }
            break;
        case "either":
    }
    return incarnation;
}
