import type { LogLine } from "./LogLine.js";
import { refersToRequest } from "./refersToRequest.js";

/** Time without a line of the request itself that is marked as a gap, in milliseconds. */
const GAP_THRESHOLD_MS = 1_000;

const MS_PER_S = 1_000;

/**
 * Formats the story of a request, one line for each event. Lines that name the request begin with '*',
 * what was believed beside it does not; a long time without a line of the request is marked.
 *
 * @param timeline - The lines in order of time.
 * @param id - The request's id.
 * @returns The text; times are seconds since the first line that names the request.
 */
export function formatTimeline(timeline: readonly LogLine[], id: string): string {
    const startMs = timeline.find(line => refersToRequest(line, id))?.atMs ?? 0;
    const nodeWidth = Math.max(0, ...timeline.map(line => line.node.length));
    let lastRequestLineMs: number | undefined;
    const outputLines: string[] = [];
    for (const line of timeline) {
        const isRequestLine = refersToRequest(line, id);
        if (
            isRequestLine && lastRequestLineMs !== undefined
            && line.atMs - lastRequestLineMs > GAP_THRESHOLD_MS
        ) {
            outputLines.push(
                `  ${"".padStart(10)}  (${
                    formatSeconds(line.atMs - lastRequestLineMs)
                } s without a line of ${id})`,
            );
        }
        lastRequestLineMs = isRequestLine ? line.atMs : lastRequestLineMs;
        const time = formatSeconds(line.atMs - startMs).padStart(10);
        outputLines.push(
            `${isRequestLine ? "*" : " "} ${time}  ${line.node.padEnd(nodeWidth)}  ${formatLine(line, id)}`,
        );
    }
    return outputLines.join("\n");
}

function formatSeconds(ms: number): string {
    return (ms / MS_PER_S).toFixed(3);
}

function formatLine({ message, fields }: LogLine, id: string): string {
    const shownFields = Object.entries(fields).filter(([, value]) => value !== id && value !== undefined);
    return [message, ...shownFields.map(([name, value]) => `${name}=${formatValue(value)}`)].join(" ");
}

function formatValue(value: unknown): string {
    return typeof value === "string" && !/[\s"]/.test(value) ? value : JSON.stringify(value);
}
