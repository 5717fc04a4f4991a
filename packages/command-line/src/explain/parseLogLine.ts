import { fromThrowable } from "neverthrow";
import type { LogLine } from "./LogLine.js";

const parseJson = fromThrowable((text: string) => JSON.parse(text) as unknown);

/**
 * Parses one line of a log.
 *
 * @param text - The line; what a log shipper has put before the JSON object is passed over.
 * @returns The line, or `undefined` if it is not one of a daemon.
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
