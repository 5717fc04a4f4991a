import type { IncomingMessage } from "node:http";

/** A request with the parameters of its path. */
export type RoutedRequest = IncomingMessage & { readonly params: Record<string, string | string[]> };

/**
 * Returns a parameter of a request's path.
 *
 * @param req - The request.
 * @param name - The parameter's name in the route.
 * @returns The parameter, or an empty text.
 */
export function getPathParameter(req: RoutedRequest, name: string): string {
    return String(req.params[name] ?? "");
}
