import { Reason } from "@balsamward/schema";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/**
 * Creates the reply to a request or job whose kind of work the configuration does not define.
 *
 * @returns The refusal.
 *
 * @example
 * const reply = refuseUnknownKind();
 */
export function refuseUnknownKind(): Reply {
    return refuse(
        Reason.UNKNOWN_KIND,
        "The configuration has no such kind of work. Check the field 'kind'.",
    );
}
