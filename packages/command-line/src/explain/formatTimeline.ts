import type { LogLine } from "./LogLine.js";
import { refersToRequest } from "./refersToRequest.js";

/** Time in milliseconds between two lines of the request above which a gap is marked. */
const GAP_MS = 1_000;

const MS_PER_S = 1_000;

/**
 * Formats the timeline of a request, one line per event. Lines that refer to the request start with '*', context
 * lines do not. A gap of more than a second between lines of the request is marked.
 *
 * @param timeline - The log lines in chronological order.
 * @param id - The id of the request or job.
 * @returns The text; times are in seconds since the first line that refers to the request.
 */
export function formatTimeline(timeline: readonly LogLine[], id: string): string {
    const begin = timeline.find(line => refersToRequest(line, id))?.atMs ?? 0;
    const width = Math.max(0, ...timeline.map(line => line.node.length));
    let lastMs: number | undefined;
    const text: string[] = [];
    for (const line of timeline) {
        const isOwn = refersToRequest(line, id);
        if (isOwn && lastMs !== undefined && line.atMs - lastMs > GAP_MS) {
            text.push(
                `  ${"".padStart(10)}  (${formatSeconds(line.atMs - lastMs)} s without a line of ${id})`,
            );
        }
        lastMs = isOwn ? line.atMs : lastMs;
        const time = formatSeconds(line.atMs - begin).padStart(10);
        text.push(`${isOwn ? "*" : " "} ${time}  ${line.node.padEnd(width)}  ${formatLine(line, id)}`);
    }
    return text.join("\n");
}

function formatSeconds(ms: number): string {
    return (ms / MS_PER_S).toFixed(3);
}

function formatLine({ message, fields }: LogLine, id: string): string {
    const shown = Object.entries(fields).filter(([, value]) => value !== id && value !== undefined);
    return [message, ...shown.map(([name, value]) => `${name}=${formatValue(value)}`)].join(" ");
}

function formatValue(value: unknown): string {
    return typeof value === "string" && !/[\s"]/.test(value) ? value : JSON.stringify(value);
}
