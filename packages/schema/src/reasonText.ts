import { Reason } from "./generated/balsamward/v1/outcome_pb.js";
import { Outcome } from "./generated/balsamward/v1/outcome_pb.js";

/**
 * Returns the name of a reason as callers and metrics see it, such as `rate-limit`.
 *
 * @param reason - The reason.
 * @returns The name in lower case with hyphens.
 *
 * @example
 * reasonText(Reason.RATE_LIMIT); // "rate-limit"
 */
export function reasonText(reason: Reason): string {
    return Reason[reason].toLowerCase().replaceAll("_", "-");
}

/**
 * Returns the name of an outcome as callers and metrics see it, such as `completed`.
 *
 * @param outcome - The outcome.
 * @returns The name in lower case.
 *
 * @example
 * outcomeText(Outcome.COMPLETED); // "completed"
 */
export function outcomeText(outcome: Outcome): string {
    return Outcome[outcome].toLowerCase();
}
