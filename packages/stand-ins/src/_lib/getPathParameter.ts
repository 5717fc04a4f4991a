import type { IncomingMessage } from "node:http";

/** A request with the path parameters of its route. */
export type RoutedRequest = IncomingMessage & { readonly params: Record<string, string | string[]> };

/**
 * Returns a path parameter of a request.
 *
 * @param req - The request.
 * @param name - The parameter's name in the route.
 * @returns The value, or an empty string if the route has no such parameter.
 */
export function getPathParameter(req: RoutedRequest, name: string): string {
    return String(req.params[name] ?? "");
}
