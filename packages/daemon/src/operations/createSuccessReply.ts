import { Outcome, Reason } from "@balsamward/schema";
import type { Reply } from "../callers/Reply.js";

/**
 * Returns the answer to an operator whose request is done.
 *
 * @param fields - The fields of the answer.
 * @returns The answer.
 *
 * @example
 * createSuccessReply({ generation: 7 });
 */
export function createSuccessReply(fields: object): Reply {
    return { outcome: Outcome.COMPLETED, reason: Reason.NONE, status: 200, fields };
}
