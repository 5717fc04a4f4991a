import { fromThrowable } from "neverthrow";
import type { LogLine } from "./LogLine.js";

const parseJson = fromThrowable((text: string) => JSON.parse(text) as unknown);

/**
 * Parses one line of a daemon's JSON log.
 *
 * @param text - The line; a prefix before the JSON object, such as a log shipper adds, is ignored.
 * @returns The parsed line, or `undefined` if the text is not a daemon's log line.
 *
 * @example
 * parseLogLine('{"timestamp":"2026-01-01T00:00:00.000Z","node":"a","message":"The daemon starts."}')?.node; // "a"
 */
export function parseLogLine(text: string): LogLine | undefined {
    const parsed = parseJson(text.slice(Math.max(0, text.indexOf("{")))).unwrapOr(undefined);
    if (typeof parsed !== "object" || parsed === null) {
        return undefined;
    }
    const { timestamp, node, message, ...fields } = parsed as Record<string, unknown>;
    delete fields["level"];
    const atMs = Date.parse(String(timestamp));
    return Number.isNaN(atMs) || typeof message !== "string"
        ? undefined
        : { atMs, node: String(node ?? ""), message, fields };
}
