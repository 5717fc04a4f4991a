import { pause } from "@balsamward/scheduler/pause";
import { Outcome, Reason } from "@balsamward/schema";
import type { IncomingMessage, ServerResponse } from "node:http";
import { DRAIN_POLL_INTERVAL_MS, LAST_ANSWERS_TIMEOUT_MS } from "../constants.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";
import { sendReply } from "./Reply.js";

/** The requests whose answers have not been sent completely. */
export type OpenRequests = {
    /** Adds a request until its answer has been handed to the operating system, or its connection has closed. */
    readonly add: (req: IncomingMessage, res: ServerResponse) => void;
    readonly count: () => number;
    /**
     * Waits until all answers have been sent. After the timeout, in milliseconds, it answers the requests that are left
     * itself, and waits a little longer until these answers have been sent.
     */
    readonly finish: (timeoutMs: number) => Promise<void>;
};

/**
 * Creates an empty set of open requests.
 *
 * @returns The set.
 *
 * @example
 * const openRequests = createOpenRequests();
 * openRequests.add(req, res);
 */
export function createOpenRequests(): OpenRequests {
    const requests = new Map<ServerResponse, IncomingMessage>();
    const waitForAnswers = async (timeoutMs: number): Promise<void> => {
        const deadline = performance.now() + timeoutMs;
        while (requests.size > 0 && performance.now() < deadline) {
            await pause(DRAIN_POLL_INTERVAL_MS);
        }
    };
    return {
        add: (req, res) => {
            requests.set(res, req);
            res.once("close", () => requests.delete(res));
        },
        count: () => requests.size,
        finish: async timeoutMs => {
            await waitForAnswers(timeoutMs);
            requests.forEach((req, res) => {
                if (!res.headersSent) {
                    res.setHeader("connection", "close");
                    sendReply(res, composeLastReply(req));
                }
            });
            await waitForAnswers(LAST_ANSWERS_TIMEOUT_MS);
        },
    };
}

/** A submission or a request for an endpoint has no effect before its whole body has arrived. */
function composeLastReply(req: IncomingMessage): Reply {
    if (req.method === "POST" && !req.complete) {
        const message = "This daemon stops before the request's body has arrived. Send it to another daemon.";
        return refuse(Reason.STOPPING, message, { retryAfterMs: 1_000 });
    }
    const message =
        "This daemon stops, and the request may have run. Check its effect before sending it again.";
    return { outcome: Outcome.UNKNOWN, reason: Reason.STOPPING, status: 504, message };
}
