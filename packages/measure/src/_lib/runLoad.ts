import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";

/** Throughput, latency and errors of a load. */
export type LoadResult = {
    readonly requestsPerSecond: number;
    readonly medianMs: number;
    readonly p99Ms: number;
    /** Number of answers that do not report success or do not echo their own request. */
    readonly wrongAnswers: number;
};

/** Options for a load. */
export type LoadOptions = {
    /** Base URL of the target, as `http://IP:port`. */
    readonly url: string;
    readonly token: string;
    readonly connections: number;
    readonly durationMs: number;
};

const MICROSECONDS_PER_MS = 1_000;

/**
 * Runs a closed-loop load: each connection sends its next request as soon as the previous one is answered. Checks
 * that every answer echoes its own request.
 *
 * @param options - The options.
 * @returns The throughput, the latency and the number of wrong answers.
 */
export async function runLoad(options: LoadOptions): Promise<LoadResult> {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const pool = new Pool(options.url, { connections: options.connections, pipelining: 1 });
    const startedAt = performance.now();
    const wrongCounts = await Promise.all(
        Array.from(
            { length: options.connections },
            (_, index) => sendRequests(pool, options, histogram, index, startedAt),
        ),
    );
    const elapsedMs = performance.now() - startedAt;
    await pool.destroy();
    return {
        requestsPerSecond: histogram.totalCount * 1_000 / elapsedMs,
        medianMs: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
        p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
        wrongAnswers: wrongCounts.reduce((sum, count) => sum + count, 0),
    };
}

async function sendRequests(
    pool: Pool,
    options: LoadOptions,
    histogram: Histogram,
    connectionIndex: number,
    startedAt: number,
): Promise<number> {
    let wrongAnswers = 0;
    for (let sequence = 0; performance.now() - startedAt < options.durationMs; sequence++) {
        const marker = `c${connectionIndex}s${sequence}`;
        const sentAt = performance.now();
        const response = await pool.request({
            path: "/v1/requests",
            method: "POST",
            headers: { authorization: `Bearer ${options.token}`, "content-type": "application/json" },
            body: `{"kind":"walk-in","caller":"c${connectionIndex}","payload":{"mark":"${marker}"}}`,
        });
        const text = await response.body.text();
        histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MS)));
        wrongAnswers += response.statusCode === 200 && text.includes(`\\"${marker}\\"`) ? 0 : 1;
    }
    return wrongAnswers;
}
