import type { OrderOutcome } from "@balsamward/scheduler";
import type { OrderFault } from "./OrderFault.js";
import { UNANSWERED } from "./OrderFault.js";

/**
 * Executes an order of a reachable worker, subject to a fault.
 *
 * @param fault - The fault; `undefined` for none.
 * @param execute - Executes the order.
 * @param delayedOrders - Gets the order if the fault delays it.
 * @returns The result that reaches the caller.
 */
export function executeWithFault(
    fault: OrderFault | undefined,
    execute: () => OrderOutcome,
    delayedOrders: (() => void)[],
): OrderOutcome {
    switch (fault) {
        case "refused":
            return { kind: "unhealthy", status: 503 };
        case "unanswered":
            return { kind: "unclear", cause: UNANSWERED };
        case "late":
            delayedOrders.push(execute);
            return { kind: "unclear", cause: "late" };
        case "lost-answer":
            execute();
            return { kind: "unclear", cause: "lost" };
        case undefined:
            return execute();
    }
}
