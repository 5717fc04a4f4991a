import { Reason } from "./generated/balsamward/v1/outcome_pb.js";
import { Outcome } from "./generated/balsamward/v1/outcome_pb.js";

/**
 * Returns the name of a reason as it appears in responses and metrics, such as `rate-limit`.
 *
 * @param reason - The reason.
 * @returns The name of the enum value in lower case, with hyphens in place of underscores.
 *
 * @example
 * reasonName(Reason.RATE_LIMIT); // "rate-limit"
 */
export function reasonName(reason: Reason): string {
    return Reason[reason].toLowerCase().replaceAll("_", "-");
}

/**
 * Returns the name of an outcome as it appears in responses and metrics, such as `completed`.
 *
 * @param outcome - The outcome.
 * @returns The name of the enum value in lower case.
 *
 * @example
 * outcomeName(Outcome.COMPLETED); // "completed"
 */
export function outcomeName(outcome: Outcome): string {
    return Outcome[outcome].toLowerCase();
}
