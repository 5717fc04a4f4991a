import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { waitUntil } from "../_lib/callOperations.js";
import { composeDocument } from "../_lib/composeDocument.js";
import type { LabBench } from "../_lib/LabBench.js";
import { readJson, readMetric, startLabBench } from "../_lib/LabBench.js";
import { cpuMs, residentMb } from "../_lib/readProcess.js";
import { REST_MS } from "../constants.js";
import type { Slope } from "./Slope.js";
import { createSlope } from "./Slope.js";

const WORKER_COUNTS = [128, 256, 512];
const TASK_STEPS = [1_024, 2_048, 4_096];
const GANG_MEMBERS = 64;
const ACCELERATORS = 8;
const RUN_MS = 600_000;

type Traffic = { readonly calls: number; readonly bytesIn: number; readonly bytesOut: number };
type Rest = {
    readonly cpuPercent: number;
    readonly heapMb: number;
    readonly rssMb: number;
    readonly callsPerSecond: number;
    readonly bytesPerSecond: number;
    readonly storeWritesPerSecond: number;
};

/**
 * Measures the cost of an owned cell by its workers and its running tasks.
 *
 * @returns The slopes.
 */
export async function measureWorkers(): Promise<readonly Slope[]> {
    const byWorkers: { readonly size: number; readonly rest: Rest }[] = [];
    const byTasks: { readonly size: number; readonly rest: Rest }[] = [];
    for (const size of WORKER_COUNTS) {
        const bench = await startCell(size);
        try {
            byWorkers.push({ size, rest: await watch(bench) });
            if (size === WORKER_COUNTS.at(-1)) {
                byTasks.push(...await measureTasks(bench));
            }
        }
        finally {
            await bench.stop();
        }
    }
    const slope = (
        name: string,
        unit: string,
        rows: typeof byWorkers,
        sizeUnit: string,
        of: (rest: Rest) => number,
    ) => createSlope(name, sizeUnit, unit, rows.map(row => ({ x: row.size, y: of(row.rest) })));
    return [
        slope("owner, processor", "% of a core", byWorkers, "workers", rest => rest.cpuPercent),
        slope("owner, heap", "MB", byWorkers, "workers", rest => rest.heapMb),
        slope("owner, resident", "MB", byWorkers, "workers", rest => rest.rssMb),
        slope("owner to workers, calls", "calls/s", byWorkers, "workers", rest => rest.callsPerSecond),
        slope("owner to workers, bytes", "B/s", byWorkers, "workers", rest => rest.bytesPerSecond),
        slope("owner, processor", "% of a core", byTasks, "tasks", rest => rest.cpuPercent),
        slope("owner, heap", "MB", byTasks, "tasks", rest => rest.heapMb),
        slope("owner to workers, bytes", "B/s", byTasks, "tasks", rest => rest.bytesPerSecond),
        slope("store writes at rest", "writes/s", byTasks, "tasks", rest => rest.storeWritesPerSecond),
    ];
}

function startCell(workers: number): Promise<LabBench> {
    const document = composeDocument({
        dataCentres: 1,
        workers,
        acceleratorsPerWorker: ACCELERATORS,
        customers: 4,
        kinds: 1,
    });
    return startLabBench({
        daemons: 1,
        parts: [`dc0:${workers}:8:${ACCELERATORS}`],
        document,
        endpoints: false,
    });
}

async function measureTasks(bench: LabBench) {
    const rows: { readonly size: number; readonly rest: Rest }[] = [];
    let running = 0;
    for (const size of TASK_STEPS) {
        for (; running < size; running += GANG_MEMBERS) {
            await submitGang(bench);
        }
        await waitUntil(`${size} tasks run`, async () => await countRunning(bench) === size);
        rows.push({ size, rest: await watch(bench) });
    }
    return rows;
}

async function submitGang(bench: LabBench): Promise<void> {
    const response = await request(`http://${bench.daemons[0]!.addresses.callers}/v1/jobs`, {
        method: "POST",
        headers: { authorization: "Bearer c0-token" },
        body: JSON.stringify({
            kind: "batch0",
            members: GANG_MEMBERS,
            accelerators_per_member: 1,
            adjacency: "data-centre",
            run_ms: RUN_MS,
        }),
    });
    const answer = await response.body.json() as { outcome: string; reason: string };
    if (answer.outcome !== "completed") {
        throw new Error(`A gang of the measurement is not accepted: ${answer.reason}.`);
    }
}

async function countRunning(bench: LabBench): Promise<number> {
    const reservations = await readJson<readonly { state: string; accelerators: number }[]>(
        `${bench.agentsUrl}/control/reservations`,
    );
    return reservations
        .filter(entry => entry.state === "running")
        .reduce((sum, entry) => sum + entry.accelerators.toString(2).replaceAll("0", "").length, 0);
}

async function watch(bench: LabBench): Promise<Rest> {
    const [daemon] = bench.daemons;
    await sleep(REST_MS / 4);
    const before = {
        traffic: await readTraffic(bench),
        writes: await readWrites(bench),
        cpu: cpuMs(daemon!.pid),
    };
    await sleep(REST_MS);
    const after = {
        traffic: await readTraffic(bench),
        writes: await readWrites(bench),
        cpu: cpuMs(daemon!.pid),
    };
    const seconds = REST_MS / 1_000;
    const bytes = (traffic: Traffic) => traffic.bytesIn + traffic.bytesOut;
    return {
        cpuPercent: (after.cpu - before.cpu) / REST_MS * 100,
        heapMb: await readMetric(daemon!, "nodejs_heap_size_used_bytes") / 1e6,
        rssMb: residentMb(daemon!.pid),
        callsPerSecond: (after.traffic.calls - before.traffic.calls) / seconds,
        bytesPerSecond: (bytes(after.traffic) - bytes(before.traffic)) / seconds,
        storeWritesPerSecond: (after.writes - before.writes) / seconds,
    };
}

function readTraffic(bench: LabBench): Promise<Traffic> {
    return readJson(`${bench.agentsUrl}/control/traffic`);
}

async function readWrites(bench: LabBench): Promise<number> {
    const { writes } = await readJson<{ writes: number }>(`${bench.storeUrl}/control/counters`);
    return writes;
}
