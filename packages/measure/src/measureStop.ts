import { readFileSync } from "node:fs";
import { setTimeout as sleep } from "node:timers/promises";
import { Pool, request } from "undici";
import type { TestbedDaemon } from "./_lib/Testbed.js";
import { readStatus, startTestbed } from "./_lib/Testbed.js";
import type { Report } from "./Report.js";

const CONNECTIONS = 64;
const SERVICE_MS = 100;
const LOAD_BEFORE_STOP_MS = 1_000;
const DAEMONS = 3;
/** Interval in milliseconds at which the platform's load balancer polls a daemon's readiness. */
const READINESS_POLL_INTERVAL_MS = 500;
const HANDOVER_TIMEOUT_MS = 15_000;
const STATUS_POLL_INTERVAL_MS = 20;

/** Number of requests of a load by result. */
type RequestCounts = { completed: number; refused: number; notSent: number; aborted: number; wrong: number };

/**
 * Measures a graceful stop under load behind a load balancer that polls readiness: no request that the balancer
 * forwards may be interrupted or refused.
 *
 * @returns The report; it is marked as failed if a request is interrupted, refused or answered wrongly, or if the
 * daemon exits with a code other than 0.
 */
export async function measureStop(): Promise<Report> {
    const testbed = await startTestbed({
        daemonCount: DAEMONS,
        fleetParts: ["recife:11:8:8", "fortaleza:11:8:8", "natal:11:8:8"],
        documentText: readFileSync("examples/boliche-nordeste.ini", "utf8"),
        startEndpoints: true,
        endpointServiceMs: SERVICE_MS,
    });
    try {
        const { cells } = await readStatus(testbed.daemons[0]!);
        const stoppedNode = cells[0]!.owner!;
        const daemon = testbed.daemons.find((_, index) => `entry-${index}` === stoppedNode);
        const otherDaemon = testbed.daemons.find((_, index) => `entry-${index}` !== stoppedNode);
        const counts: RequestCounts = { completed: 0, refused: 0, notSent: 0, aborted: 0, wrong: 0 };
        const pool = new Pool(`http://${daemon!.addresses.callers}`, {
            connections: CONNECTIONS,
            pipelining: 1,
        });
        const traffic = { stopped: false };
        const balancer = stopTrafficWhenNotReady(daemon!, traffic);
        const load = Array.from(
            { length: CONNECTIONS },
            (_, index) => sendRequests(pool, counts, index, traffic),
        );
        await sleep(LOAD_BEFORE_STOP_MS);
        const stoppedAt = performance.now();
        daemon!.process.child.kill("SIGTERM");
        const handoverMs = await waitForHandover(otherDaemon!, stoppedNode, stoppedAt);
        const exitCode = await daemon!.process.exited;
        const stopMs = performance.now() - stoppedAt;
        await Promise.all([...load, balancer]);
        await pool.destroy();
        return toReport(counts, exitCode, stopMs, handoverMs);
    }
    finally {
        await testbed.stop();
    }
}

/** Stops the traffic once the daemon is not ready or does not respond, as a load balancer would. */
async function stopTrafficWhenNotReady(daemon: TestbedDaemon, traffic: { stopped: boolean }): Promise<void> {
    while (!traffic.stopped) {
        await sleep(READINESS_POLL_INTERVAL_MS);
        const response = await request(`http://${daemon.addresses.operations}/readyz`).catch(() => undefined);
        traffic.stopped = response?.statusCode !== 200;
        await response?.body.dump();
    }
}

/** Sends requests one after another until the traffic is stopped or a request fails. */
async function sendRequests(
    pool: Pool,
    counts: RequestCounts,
    callerIndex: number,
    traffic: { readonly stopped: boolean },
): Promise<void> {
    for (let sequence = 0; !traffic.stopped; sequence++) {
        const marker = `c${callerIndex}s${sequence}`;
        try {
            const response = await pool.request({
                path: "/v1/requests",
                method: "POST",
                headers: { authorization: "Bearer front-desks-token" },
                body: `{"kind":"walk-in","caller":"c${callerIndex}","payload":{"mark":"${marker}"}}`,
            });
            const text = await response.body.text();
            const outcome = (JSON.parse(text) as { outcome: string }).outcome;
            counts.completed += outcome === "completed" ? 1 : 0;
            counts.refused += outcome === "refused" ? 1 : 0;
            counts.wrong += outcome === "completed" && !text.includes(`\\"${marker}\\"`) ? 1 : 0;
        }
        catch (error) {
            const { code } = error as { code?: string };
            counts.notSent += code === "ECONNREFUSED" ? 1 : 0;
            counts.aborted += code === "ECONNREFUSED" ? 0 : 1;
            return;
        }
    }
}

/** Returns the time in milliseconds until other daemons own every cell, or NaN after a time-out. */
async function waitForHandover(
    otherDaemon: TestbedDaemon,
    stoppedNode: string,
    startedAt: number,
): Promise<number> {
    while (performance.now() - startedAt < HANDOVER_TIMEOUT_MS) {
        const { cells } = await readStatus(otherDaemon);
        if (cells.every(cell => cell.owner !== undefined && cell.owner !== stoppedNode)) {
            return performance.now() - startedAt;
        }
        await sleep(STATUS_POLL_INTERVAL_MS);
    }
    return Number.NaN;
}

function toReport(
    counts: RequestCounts,
    exitCode: number | null,
    stopMs: number,
    handoverMs: number,
): Report {
    return {
        name: "stop",
        failed: counts.aborted + counts.refused + counts.wrong > 0 || exitCode !== 0,
        rows: [
            ["requests completed", String(counts.completed)],
            ["requests refused", String(counts.refused), "goal 0"],
            ["requests cut", String(counts.aborted), "goal 0"],
            ["callers that found the listener closed", String(counts.notSent)],
            ["wrong answers", String(counts.wrong), "goal 0"],
            ["exit code", String(exitCode), "goal 0"],
            ["time to stop (ms)", stopMs.toFixed(0)],
            ["time until other daemons own its cells (ms)", handoverMs.toFixed(0), "goal 1000"],
        ],
    };
}
