import type { LogLine } from "./LogLine.js";

/**
 * Returns whether a log line refers to a request.
 *
 * @param line - The log line.
 * @param id - The id of the request or job.
 * @returns Whether the id is the line's job or request, or the last path segment of its URL.
 */
export function refersToRequest({ fields }: LogLine, id: string): boolean {
    const { job, request, url } = fields;
    return job === id || request === id
        || typeof url === "string" && url.split("?", 1)[0]!.endsWith(`/${id}`);
}
