import { Outcome, Reason } from "@balsamward/schema";
import type { Reply } from "../callers/Reply.js";

/**
 * Creates the reply to an operator's request that succeeded.
 *
 * @param fields - The fields of the JSON body.
 * @returns The reply with the outcome `completed`.
 *
 * @example
 * createSuccessReply({ generation: 7 });
 */
export function createSuccessReply(fields: object): Reply {
    return { outcome: Outcome.COMPLETED, reason: Reason.NONE, status: 200, fields };
}
