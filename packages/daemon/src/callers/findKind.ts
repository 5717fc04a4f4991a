import type { Kind } from "@balsamward/schema";
import type { AuthenticatedCustomer } from "./authenticate.js";

/**
 * Finds a kind of work by its name in the configuration.
 *
 * @param authenticatedCustomer - The customer with the configuration to search.
 * @param name - The name that the caller sent.
 * @returns The kind, or `undefined` if the configuration does not define it.
 *
 * @example
 * findKind(authenticatedCustomer, "walk-in");
 */
export function findKind(authenticatedCustomer: AuthenticatedCustomer, name: string): Kind | undefined {
    const kinds = authenticatedCustomer.activeConfiguration.document.kind;
    return Object.hasOwn(kinds, name) ? kinds[name] : undefined;
}
