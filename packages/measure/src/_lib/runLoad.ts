import type { Histogram } from "hdr-histogram-js";
import { build } from "hdr-histogram-js";
import { Pool } from "undici";

/** Result of a load. */
export type Load = {
    readonly perSecond: number;
    readonly medianMs: number;
    readonly p99Ms: number;
    /** Answers that are not the whole answer to their own request. */
    readonly wrong: number;
};

/** What a load sends. */
export type LoadPlan = {
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
 * @param plan - What to send.
 * @returns Throughput, latency and the number of wrong answers.
 */
export async function runLoad(plan: LoadPlan): Promise<Load> {
    const histogram = build({ lowestDiscernibleValue: 1, highestTrackableValue: 60_000_000 });
    const pool = new Pool(plan.url, { connections: plan.connections, pipelining: 1 });
    const startedAt = performance.now();
    const counts = await Promise.all(
        Array.from(
            { length: plan.connections },
            (_, index) => runConnection(pool, plan, histogram, index, startedAt),
        ),
    );
    const elapsed = performance.now() - startedAt;
    await pool.destroy();
    return {
        perSecond: histogram.totalCount * 1_000 / elapsed,
        medianMs: histogram.getValueAtPercentile(50) / MICROSECONDS_PER_MS,
        p99Ms: histogram.getValueAtPercentile(99) / MICROSECONDS_PER_MS,
        wrong: counts.reduce((sum, count) => sum + count, 0),
    };
}

async function runConnection(
    pool: Pool,
    plan: LoadPlan,
    histogram: Histogram,
    connection: number,
    startedAt: number,
): Promise<number> {
    let wrong = 0;
    for (let sequence = 0; performance.now() - startedAt < plan.durationMs; sequence++) {
        const mark = `c${connection}s${sequence}`;
        const sentAt = performance.now();
        const response = await pool.request({
            path: "/v1/requests",
            method: "POST",
            headers: { authorization: `Bearer ${plan.token}`, "content-type": "application/json" },
            body: `{"kind":"walk-in","caller":"c${connection}","payload":{"mark":"${mark}"}}`,
        });
        const text = await response.body.text();
        histogram.recordValue(Math.max(1, Math.round((performance.now() - sentAt) * MICROSECONDS_PER_MS)));
        wrong += response.statusCode === 200 && text.includes(`\\"${mark}\\"`) ? 0 : 1;
    }
    return wrong;
}
