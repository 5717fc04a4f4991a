import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { waitUntil } from "../_lib/callOperatorApi.js";
import { generateDocument } from "../_lib/generateDocument.js";
import { readCpuMs, readResidentMb } from "../_lib/readProcessUsage.js";
import type { Testbed } from "../_lib/Testbed.js";
import { readJson, readMetric, startTestbed } from "../_lib/Testbed.js";
import { OBSERVATION_PERIOD_MS } from "../constants.js";
import type { CostCurve } from "./CostCurve.js";
import { createCostCurve } from "./CostCurve.js";

const WORKER_COUNTS = [128, 256, 512];
const TASK_COUNTS = [1_024, 2_048, 4_096];
const GANG_MEMBERS = 64;
const ACCELERATORS_PER_WORKER = 8;
const RUN_MS = 600_000;

type Traffic = { readonly calls: number; readonly bytesIn: number; readonly bytesOut: number };
type CellCost = {
    readonly cpuPercent: number;
    readonly heapMb: number;
    readonly rssMb: number;
    readonly callsPerSecond: number;
    readonly bytesPerSecond: number;
    readonly storeWritesPerSecond: number;
};

/**
 * Measures how the cost of owning a cell grows with the number of workers and running tasks.
 *
 * @returns The cost curves.
 */
export async function measureWorkers(): Promise<readonly CostCurve[]> {
    const byWorkers: { readonly size: number; readonly cost: CellCost }[] = [];
    const byTasks: { readonly size: number; readonly cost: CellCost }[] = [];
    for (const size of WORKER_COUNTS) {
        const testbed = await startSingleCell(size);
        try {
            byWorkers.push({ size, cost: await measureCellCost(testbed) });
            if (size === WORKER_COUNTS.at(-1)) {
                byTasks.push(...await measureTasks(testbed));
            }
        }
        finally {
            await testbed.stop();
        }
    }
    const toCurve = (
        name: string,
        unit: string,
        rows: typeof byWorkers,
        sizeUnit: string,
        getCost: (cost: CellCost) => number,
    ) => createCostCurve(name, sizeUnit, unit, rows.map(row => ({ x: row.size, y: getCost(row.cost) })));
    return [
        toCurve("owner, processor", "% of a core", byWorkers, "workers", cost => cost.cpuPercent),
        toCurve("owner, heap", "MB", byWorkers, "workers", cost => cost.heapMb),
        toCurve("owner, resident", "MB", byWorkers, "workers", cost => cost.rssMb),
        toCurve("owner to workers, calls", "calls/s", byWorkers, "workers", cost => cost.callsPerSecond),
        toCurve("owner to workers, bytes", "B/s", byWorkers, "workers", cost => cost.bytesPerSecond),
        toCurve("owner, processor", "% of a core", byTasks, "tasks", cost => cost.cpuPercent),
        toCurve("owner, heap", "MB", byTasks, "tasks", cost => cost.heapMb),
        toCurve("owner to workers, bytes", "B/s", byTasks, "tasks", cost => cost.bytesPerSecond),
        toCurve("store writes at rest", "writes/s", byTasks, "tasks", cost => cost.storeWritesPerSecond),
    ];
}

function startSingleCell(workerCount: number): Promise<Testbed> {
    const document = generateDocument({
        dataCentreCount: 1,
        workersPerDataCentre: workerCount,
        acceleratorsPerWorker: ACCELERATORS_PER_WORKER,
        customerCount: 4,
        kindCount: 1,
    });
    return startTestbed({
        daemonCount: 1,
        fleetParts: [`dc0:${workerCount}:8:${ACCELERATORS_PER_WORKER}`],
        documentText: document,
        startEndpoints: false,
    });
}

async function measureTasks(testbed: Testbed) {
    const rows: { readonly size: number; readonly cost: CellCost }[] = [];
    let submitted = 0;
    for (const size of TASK_COUNTS) {
        for (; submitted < size; submitted += GANG_MEMBERS) {
            await submitGang(testbed);
        }
        await waitUntil(`${size} tasks run`, async () => await countRunningTasks(testbed) === size);
        rows.push({ size, cost: await measureCellCost(testbed) });
    }
    return rows;
}

async function submitGang(testbed: Testbed): Promise<void> {
    const response = await request(`http://${testbed.daemons[0]!.addresses.callers}/v1/jobs`, {
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
        throw new Error(
            `The daemon does not accept a gang of the measurement: ${answer.reason}. Check its log and the document.`,
        );
    }
}

async function countRunningTasks(testbed: Testbed): Promise<number> {
    const reservations = await readJson<readonly { state: string; accelerators: number }[]>(
        `${testbed.agentsUrl}/control/reservations`,
    );
    return reservations
        .filter(entry => entry.state === "running")
        .reduce((sum, entry) => sum + entry.accelerators.toString(2).replaceAll("0", "").length, 0);
}

async function measureCellCost(testbed: Testbed): Promise<CellCost> {
    const [daemon] = testbed.daemons;
    await sleep(OBSERVATION_PERIOD_MS / 4);
    const before = {
        traffic: await readTraffic(testbed),
        writes: await readStoreWrites(testbed),
        cpu: readCpuMs(daemon!.pid),
    };
    await sleep(OBSERVATION_PERIOD_MS);
    const after = {
        traffic: await readTraffic(testbed),
        writes: await readStoreWrites(testbed),
        cpu: readCpuMs(daemon!.pid),
    };
    const seconds = OBSERVATION_PERIOD_MS / 1_000;
    const getTotalBytes = (traffic: Traffic) => traffic.bytesIn + traffic.bytesOut;
    return {
        cpuPercent: (after.cpu - before.cpu) / OBSERVATION_PERIOD_MS * 100,
        heapMb: await readMetric(daemon!, "nodejs_heap_size_used_bytes") / 1e6,
        rssMb: readResidentMb(daemon!.pid),
        callsPerSecond: (after.traffic.calls - before.traffic.calls) / seconds,
        bytesPerSecond: (getTotalBytes(after.traffic) - getTotalBytes(before.traffic)) / seconds,
        storeWritesPerSecond: (after.writes - before.writes) / seconds,
    };
}

function readTraffic(testbed: Testbed): Promise<Traffic> {
    return readJson(`${testbed.agentsUrl}/control/traffic`);
}

async function readStoreWrites(testbed: Testbed): Promise<number> {
    const { writes } = await readJson<{ writes: number }>(`${testbed.storeUrl}/control/counters`);
    return writes;
}
