import { setTimeout as sleep } from "node:timers/promises";
import { composeDocument } from "../_lib/composeDocument.js";
import type { LabBench } from "../_lib/LabBench.js";
import { readJson, readMetric, startLabBench } from "../_lib/LabBench.js";
import { cpuMs, residentMb } from "../_lib/readProcess.js";
import { REST_MS } from "../constants.js";
import type { Slope } from "./Slope.js";
import { createSlope } from "./Slope.js";

const DAEMON_COUNTS = [2, 4, 7];

type Counters = { readonly reads: number; readonly writes: number; readonly watches: number };
type Sample = { readonly store: Counters; readonly cpu: number; readonly bytes: number };
type Row = {
    readonly size: number;
    readonly cpuPercent: number;
    readonly rssMb: number;
    readonly peerBytesPerSecond: number;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
};

/**
 * Measures the cost of a daemon at rest by the number of daemons.
 *
 * @returns The slopes.
 */
export async function measurePeers(): Promise<readonly Slope[]> {
    const rows: Row[] = [];
    for (const size of DAEMON_COUNTS) {
        rows.push(await measureSize(size));
    }
    const slope = (name: string, unit: string, of: (row: Row) => number) =>
        createSlope(name, "daemons", unit, rows.map(row => ({ x: row.size, y: of(row) })));
    return [
        slope("daemon at rest, processor", "% of a core", row => row.cpuPercent),
        slope("daemon at rest, resident", "MB", row => row.rssMb),
        slope("daemon at rest, peer bytes", "B/s", row => row.peerBytesPerSecond),
        slope("store writes at rest, all daemons", "writes/s", row => row.writesPerSecond),
        slope("store reads and watches at rest, all daemons", "calls/s", row => row.readsPerSecond),
    ];
}

async function measureSize(size: number): Promise<Row> {
    const document = composeDocument({
        dataCentres: 1,
        workers: 8,
        acceleratorsPerWorker: 8,
        customers: 4,
        kinds: 4,
    });
    const bench = await startLabBench({ daemons: size, parts: ["dc0:8:8:8"], document, endpoints: false });
    try {
        await sleep(REST_MS / 4);
        const before = await sample(bench);
        await sleep(REST_MS);
        const after = await sample(bench);
        const seconds = REST_MS / 1_000;
        return {
            size,
            cpuPercent: (after.cpu - before.cpu) / size / REST_MS * 100,
            rssMb: bench.daemons.reduce((sum, daemon) => sum + residentMb(daemon.pid), 0) / size,
            // Every connection is counted once, by the daemon that accepted it, and has two ends.
            peerBytesPerSecond: (after.bytes - before.bytes) * 2 / size / seconds,
            writesPerSecond: (after.store.writes - before.store.writes) / seconds,
            readsPerSecond:
                (after.store.reads + after.store.watches - before.store.reads - before.store.watches)
                / seconds,
        };
    }
    finally {
        await bench.stop();
    }
}

async function sample(bench: LabBench): Promise<Sample> {
    const bytes = await Promise.all(
        bench.daemons.map(daemon => readMetric(daemon, "balsamward_peer_bytes_total")),
    );
    return {
        store: await readJson<Counters>(`${bench.storeUrl}/control/counters`),
        cpu: bench.daemons.reduce((sum, daemon) => sum + cpuMs(daemon.pid), 0),
        bytes: bytes.reduce((sum, value) => sum + value, 0),
    };
}
