import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";

/** Result of a load. */
export type LoadResult = {
    readonly requestsPerSecond: number;
    readonly medianMs: number;
    readonly p99Ms: number;
    /** Answers that are not the whole answer to their own request. */
    readonly wrongAnswers: number;
};

/** What a load sends. */
export type LoadOptions = {
    /** Base address as `http://IP:port`. */
    readonly url: string;
    readonly token: string;
    readonly connections: number;
    readonly durationMs: number;
};

const MICROSECONDS_PER_MS = 1_000;

/**
 * Sends requests over a number of connections, each as soon as the last one is answered, and checks
 * that every answer echoes its own request.
 *
 * @param options - What to send.
 * @returns Throughput, latency and the number of wrong answers.
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
