import type { IncomingMessage } from "node:http";

/**
 * Returns a query parameter of a request that a route received.
 *
 * @param req - The request.
 * @param name - The parameter's name.
 * @returns The value, or `undefined` if the request has no such parameter.
 */
export function findQueryParameter(req: IncomingMessage, name: string): string | undefined {
    const { query } = req as unknown as { query: Record<string, string | undefined> };
    return query[name];
}
