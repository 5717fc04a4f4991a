import type { LogLine } from "./LogLine.js";
import { refersToRequest } from "./refersToRequest.js";

/** Messages that tell what a daemon believed while it decided, whichever request it was. */
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
    "The store does not answer.",
    "The store answers again.",
    "Progress is not stored.",
    "Workers are kept free for a step.",
]);

/** Time before the first line and after the last one in which beliefs are shown, in milliseconds. */
const CONTEXT_WINDOW_MS = 2_000;

/**
 * Selects the lines that tell the story of a request: those that name it, what the daemons believed
 * meanwhile, and what was believed of the workers on which it was placed.
 *
 * @param lines - Lines of all daemons, in any order.
 * @param id - The request's id.
 * @returns The lines in order of time; none if no line names the request.
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

/** Lines about runs of other requests on the same worker are left out. */
function isAboutWorker({ fields }: LogLine, workers: ReadonlySet<unknown>): boolean {
    return fields["job"] === undefined && workers.has(fields["worker"]);
}
