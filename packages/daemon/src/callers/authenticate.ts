import type { Customer, CustomerId } from "@balsamward/schema";
import { Reason, sha256Hex } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { IncomingMessage } from "node:http";
import type { ActiveConfiguration } from "../_lib/ActiveConfiguration.js";
import { MAX_CACHED_TOKENS } from "../constants.js";
import type { DaemonState } from "../DaemonState.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** An authenticated customer, with the configuration against which its request is handled. */
export type AuthenticatedCustomer = {
    readonly customer: CustomerId;
    readonly customerSettings: Customer;
    readonly activeConfiguration: ActiveConfiguration;
};

/**
 * Authenticates a request by its bearer token.
 *
 * @param state - The daemon's state.
 * @param req - The HTTP request.
 * @returns The customer, or the refusal if the daemon is draining, no configuration is known or the token
 *     is not valid.
 *
 * @example
 * authenticate(state, req).map(({ customer }) => customer);
 */
export function authenticate(state: DaemonState, req: IncomingMessage): Result<AuthenticatedCustomer, Reply> {
    const { activeConfiguration } = state;
    if (state.isDraining) {
        return err(
            refuse(Reason.STOPPING, "This daemon is stopping. Send the request to another daemon.", {
                retryAfterMs: 1_000,
            }),
        );
    }
    if (activeConfiguration === undefined) {
        const message =
            "The daemon has no configuration yet. Try again, or ask an operator to promote a document.";
        return err(refuse(Reason.CONFIGURATION_UNKNOWN, message, { retryAfterMs: 2_000 }));
    }
    const header = req.headers.authorization ?? "";
    const token = header.startsWith("Bearer ") ? header.slice("Bearer ".length) : "";
    const customer = findCustomer(activeConfiguration, token);
    if (token === "" || customer === undefined) {
        return err(
            refuse(
                Reason.BAD_TOKEN,
                "The bearer token is missing or unknown. Ask an operator for a valid token.",
            ),
        );
    }
    return ok({
        customer: customer as CustomerId,
        customerSettings: activeConfiguration.document.customer[customer]!,
        activeConfiguration,
    });
}

function findCustomer(activeConfiguration: ActiveConfiguration, token: string): string | undefined {
    const cachedCustomer = activeConfiguration.customersByToken.get(token);
    if (cachedCustomer !== undefined) {
        return cachedCustomer;
    }
    const customer = activeConfiguration.customersByTokenDigest.get(sha256Hex(token));
    if (customer !== undefined && activeConfiguration.customersByToken.size < MAX_CACHED_TOKENS) {
        activeConfiguration.customersByToken.set(token, customer);
    }
    return customer;
}
