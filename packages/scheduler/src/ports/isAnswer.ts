import type { OrderOutcome } from "./WorkerPort.js";

/**
 * Returns whether an order ended with an answer of its worker, rather than with a timeout or without a connection.
 *
 * @param outcome - Outcome of the order.
 * @returns True if the worker answered, also with a refusal.
 */
export function isAnswer({ kind }: OrderOutcome): boolean {
    return kind !== "unclear" && kind !== "unreachable";
}
