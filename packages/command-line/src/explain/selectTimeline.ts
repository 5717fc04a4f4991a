import type { LogLine } from "./LogLine.js";
import { refersToRequest } from "./refersToRequest.js";

/** Messages about a daemon's state that affects its decisions on every request. */
const CONTEXT_MESSAGES: ReadonlySet<string> = new Set([
    "The daemon starts.",
    "The daemon stops.",
    "The daemon has stopped.",
    "The ownership is taken.",
    "The ownership is not taken.",
    "The term ends.",
    "The state is loaded.",
    "The state cannot be loaded.",
    "The owner's process does not listen.",
    "The lease of a dead owner is ended.",
    "A configuration is in force.",
    "A configuration cannot be decoded and is ignored.",
    "A peer's configuration cannot be fetched.",
    "The watch of the configuration is interrupted.",
    "The store does not answer.",
    "The store answers again.",
    "Progress is not stored.",
    "Workers are kept free for a step.",
]);

/** Time in milliseconds before the request's first line and after its last one in which context lines are included. */
const CONTEXT_WINDOW_MS = 2_000;

/**
 * Selects the log lines that explain a request: lines that refer to it, changes of the daemons' state around
 * that time, and lines about the workers on which it was placed.
 *
 * @param lines - Log lines of all daemons, in any order.
 * @param id - The id of the request or job.
 * @returns The lines in chronological order; empty if no line refers to the request.
 */
export function selectTimeline(lines: readonly LogLine[], id: string): readonly LogLine[] {
    const requestLines = lines.filter(line => refersToRequest(line, id));
    if (requestLines.length === 0) {
        return [];
    }
    const startMs = requestLines.reduce(
        (least, line) => Math.min(least, line.atMs),
        Number.POSITIVE_INFINITY,
    );
    const endMs = requestLines.reduce((most, line) => Math.max(most, line.atMs), Number.NEGATIVE_INFINITY);
    const workers = new Set(
        requestLines.map(line => line.fields["worker"]).filter(worker => worker !== undefined),
    );
    const contextLines = lines.filter(line =>
        !refersToRequest(line, id)
        && line.atMs >= startMs - CONTEXT_WINDOW_MS && line.atMs <= endMs + CONTEXT_WINDOW_MS
        && (CONTEXT_MESSAGES.has(line.message) || isAboutWorker(line, workers))
    );
    return [...requestLines, ...contextLines].sort((left, right) => left.atMs - right.atMs);
}

/** Returns whether a line is about one of the workers; lines about the jobs of other requests are left out. */
function isAboutWorker({ fields }: LogLine, workers: ReadonlySet<unknown>): boolean {
    return fields["job"] === undefined && workers.has(fields["worker"]);
}
