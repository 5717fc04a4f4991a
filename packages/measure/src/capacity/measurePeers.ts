import { setTimeout as sleep } from "node:timers/promises";
import { generateDocument } from "../_lib/generateDocument.js";
import { readCpuMs, readResidentMb } from "../_lib/readProcessUsage.js";
import type { Testbed } from "../_lib/Testbed.js";
import { readJson, readMetric, startTestbed } from "../_lib/Testbed.js";
import { OBSERVATION_PERIOD_MS } from "../constants.js";
import type { CostCurve } from "./CostCurve.js";
import { createCostCurve } from "./CostCurve.js";

const DAEMON_COUNTS = [2, 4, 7];

type StoreCounters = { readonly reads: number; readonly writes: number; readonly watches: number };
type CounterSample = { readonly store: StoreCounters; readonly cpuMs: number; readonly peerBytes: number };
type IdleCost = {
    readonly size: number;
    readonly cpuPercent: number;
    readonly rssMb: number;
    readonly peerBytesPerSecond: number;
    readonly writesPerSecond: number;
    readonly readsPerSecond: number;
};

/**
 * Measures how the cost of an idle daemon grows with the number of daemons.
 *
 * @returns The cost curves.
 */
export async function measurePeers(): Promise<readonly CostCurve[]> {
    const rows: IdleCost[] = [];
    for (const size of DAEMON_COUNTS) {
        rows.push(await measureIdleCost(size));
    }
    const toCurve = (name: string, unit: string, getCost: (row: IdleCost) => number) =>
        createCostCurve(name, "daemons", unit, rows.map(row => ({ x: row.size, y: getCost(row) })));
    return [
        toCurve("daemon at rest, processor", "% of a core", row => row.cpuPercent),
        toCurve("daemon at rest, resident", "MB", row => row.rssMb),
        toCurve("daemon at rest, peer bytes", "B/s", row => row.peerBytesPerSecond),
        toCurve("store writes at rest, all daemons", "writes/s", row => row.writesPerSecond),
        toCurve("store reads and watches at rest, all daemons", "calls/s", row => row.readsPerSecond),
    ];
}

async function measureIdleCost(size: number): Promise<IdleCost> {
    const document = generateDocument({
        dataCentreCount: 1,
        workersPerDataCentre: 8,
        acceleratorsPerWorker: 8,
        customerCount: 4,
        kindCount: 4,
    });
    const testbed = await startTestbed({
        daemonCount: size,
        fleetParts: ["dc0:8:8:8"],
        documentText: document,
        startEndpoints: false,
    });
    try {
        await sleep(OBSERVATION_PERIOD_MS / 4);
        const before = await takeSample(testbed);
        await sleep(OBSERVATION_PERIOD_MS);
        const after = await takeSample(testbed);
        const seconds = OBSERVATION_PERIOD_MS / 1_000;
        return {
            size,
            cpuPercent: (after.cpuMs - before.cpuMs) / size / OBSERVATION_PERIOD_MS * 100,
            rssMb: testbed.daemons.reduce((sum, daemon) => sum + readResidentMb(daemon.pid), 0) / size,
            // Each connection is counted once, by the daemon that accepted it, but costs traffic at both ends.
            peerBytesPerSecond: (after.peerBytes - before.peerBytes) * 2 / size / seconds,
            writesPerSecond: (after.store.writes - before.store.writes) / seconds,
            readsPerSecond:
                (after.store.reads + after.store.watches - before.store.reads - before.store.watches)
                / seconds,
        };
    }
    finally {
        await testbed.stop();
    }
}

async function takeSample(testbed: Testbed): Promise<CounterSample> {
    const bytesByDaemon = await Promise.all(
        testbed.daemons.map(daemon => readMetric(daemon, "balsamward_peer_bytes_total")),
    );
    return {
        store: await readJson<StoreCounters>(`${testbed.storeUrl}/control/counters`),
        cpuMs: testbed.daemons.reduce((sum, daemon) => sum + readCpuMs(daemon.pid), 0),
        peerBytes: bytesByDaemon.reduce((sum, value) => sum + value, 0),
    };
}
