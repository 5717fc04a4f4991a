import type { LogLine } from "./LogLine.js";
import { namesRequest } from "./namesRequest.js";

/** Time without a line of the request itself that is marked as a gap, in milliseconds. */
const GAP_MS = 1_000;

const MS_PER_S = 1_000;

/**
 * Formats the story of a request, one line for each event. Lines that name the request begin with '*',
 * what was believed beside it does not; a long time without a line of the request is marked.
 *
 * @param story - The lines in order of time.
 * @param id - The request's id.
 * @returns The text; times are seconds since the first line that names the request.
 */
export function formatStory(story: readonly LogLine[], id: string): string {
    const begin = story.find(line => namesRequest(line, id))?.atMs ?? 0;
    const width = Math.max(0, ...story.map(line => line.node.length));
    let last: number | undefined;
    const text: string[] = [];
    for (const line of story) {
        const isOwn = namesRequest(line, id);
        if (isOwn && last !== undefined && line.atMs - last > GAP_MS) {
            text.push(`  ${"".padStart(10)}  (${seconds(line.atMs - last)} s without a line of ${id})`);
        }
        last = isOwn ? line.atMs : last;
        const time = seconds(line.atMs - begin).padStart(10);
        text.push(`${isOwn ? "*" : " "} ${time}  ${line.node.padEnd(width)}  ${describe(line, id)}`);
    }
    return text.join("\n");
}

function seconds(ms: number): string {
    return (ms / MS_PER_S).toFixed(3);
}

function describe({ message, fields }: LogLine, id: string): string {
    const shown = Object.entries(fields).filter(([, value]) => value !== id && value !== undefined);
    return [message, ...shown.map(([name, value]) => `${name}=${formatValue(value)}`)].join(" ");
}

function formatValue(value: unknown): string {
    return typeof value === "string" && !/[\s"]/.test(value) ? value : JSON.stringify(value);
}
