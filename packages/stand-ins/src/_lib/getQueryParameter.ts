import type { IncomingMessage } from "node:http";
import { findQueryParameter } from "./findQueryParameter.js";

/**
 * Returns a query parameter that a request must have.
 *
 * @param req - The request.
 * @param name - The parameter's name.
 * @returns The value, or an empty string if the request has no such parameter.
 */
export function getQueryParameter(req: IncomingMessage, name: string): string {
    return findQueryParameter(req, name) ?? "";
}
