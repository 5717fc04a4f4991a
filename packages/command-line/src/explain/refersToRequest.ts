import type { LogLine } from "./LogLine.js";

/**
 * Returns whether a line names a request.
 *
 * @param line - The line.
 * @param id - The request's id.
 * @returns True if the line's job, request or address is the request's.
 */
export function refersToRequest({ fields }: LogLine, id: string): boolean {
    const { job, request, url } = fields;
    return job === id || request === id
        || typeof url === "string" && url.split("?", 1)[0]!.endsWith(`/${id}`);
}
