import type { Customer, CustomerId } from "@balsamward/schema";
import { Reason, sha256Hex } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { Configured } from "../_lib/Configured.js";
import { MAX_SEEN_TOKENS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** A customer known by its token, with the configuration that the decision uses. */
export type Authenticated = {
    readonly customer: CustomerId;
    readonly entry: Customer;
    readonly configured: Configured;
};

/**
 * Derives the customer from a request's bearer token.
 *
 * @param state - The daemon.
 * @param req - The request.
 * @returns The customer, or the refusal to send.
 *
 * @example
 * authenticate(state, req).map(authenticated => authenticated.customer);
 */
export function authenticate(state: DaemonState, req: IncomingMessage): Result<Authenticated, Reply> {
    const { configured } = state;
    if (state.draining) {
        return err(
            refuse(Reason.STOPPING, "This daemon stops. Send the request to another.", {
                retryAfterMs: 1_000,
            }),
        );
    }
    if (configured === undefined) {
        const message = "No configuration is known yet. Try again, or have an operator promote a document.";
        return err(refuse(Reason.CONFIGURATION_UNKNOWN, message, { retryAfterMs: 2_000 }));
    }
    const header = req.headers.authorization ?? "";
    const token = header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
    const customer = customerOf(configured, token);
    if (token === "" || customer === undefined) {
        return err(
            refuse(Reason.BAD_TOKEN, "The bearer token is missing or not known. Ask an operator for one."),
        );
    }
    return ok({
        customer: customer as CustomerId,
        entry: configured.document.customer[customer]!,
        configured,
    });
}

function customerOf(configured: Configured, token: string): string | undefined {
    const seen = configured.seenTokens.get(token);
    if (seen !== undefined) {
        return seen;
    }
    const customer = configured.customers.get(sha256Hex(token));
    if (customer !== undefined && configured.seenTokens.size < MAX_SEEN_TOKENS) {
        configured.seenTokens.set(token, customer);
    }
    return customer;
}
