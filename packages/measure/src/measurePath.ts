import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { callOperatorApi, promoteDocument, waitUntil } from "./_lib/callOperatorApi.js";
import { readCpuMs, readResidentMb } from "./_lib/readProcessUsage.js";
import type { LoadResult } from "./_lib/runLoad.js";
import { runLoad } from "./_lib/runLoad.js";
import { COMPARISON_ROUNDS, LOAD_DURATION_MS, WARM_UP_DURATION_MS } from "./constants.js";
import type { Report } from "./Report.js";
import type { StartedProcess } from "./startProcess.js";
import { startProcess } from "./startProcess.js";
import { getLoopbackAddresses, writeDaemonSettings } from "./writeSettings.js";

const FIRST_PORT = 7_700;
const ENDPOINT_PROCESSES = 4;
const ENDPOINTS_PER_PROCESS = 8;
const CONNECTIONS = 64;
const CUSTOMER_TOKEN = "front-desks-token";
const GOAL_THROUGHPUT_RATIO = 0.6;
const GOAL_ADDED_LATENCY_MS = 1;
const GOAL_RESIDENT_MB = 128;

type Target = { readonly url: string; readonly pid: number };
type TargetRound = { readonly load: LoadResult; readonly cpuUsPerRequest: number };

/**
 * Measures the throughput and the added latency of one daemon against a minimal relay as the baseline.
 *
 * @returns The report; it is marked as failed if an answer is truncated or belongs to another request.
 */
export async function measurePath(): Promise<Report> {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-path-"));
    const started: StartedProcess[] = [];
    try {
        const { daemon, relay, direct } = await startTargets(folder, started);
        for (const target of [daemon, relay]) {
            await runLoad({
                url: target.url,
                token: CUSTOMER_TOKEN,
                connections: CONNECTIONS,
                durationMs: WARM_UP_DURATION_MS,
            });
        }
        const daemonRounds: TargetRound[] = [];
        const relayRounds: TargetRound[] = [];
        for (let round = 0; round < COMPARISON_ROUNDS; round++) {
            daemonRounds.push(await runRound(daemon, CONNECTIONS));
            relayRounds.push(await runRound(relay, CONNECTIONS));
        }
        const singleDaemon = await runRound(daemon, 1);
        const singleRelay = await runRound(relay, 1);
        const singleDirect = await runRound(direct, 1);
        return toReport({
            daemonRounds,
            relayRounds,
            singleDaemon,
            singleRelay,
            singleDirect,
            residentMb: readResidentMb(daemon.pid),
        });
    }
    finally {
        for (const process of started.toReversed()) {
            await process.stop();
        }
    }
}

async function startTargets(folder: string, started: StartedProcess[]) {
    const startNamed = (name: string, args: readonly string[]) => {
        const process = startProcess(name, args, folder);
        started.push(process);
        return process;
    };
    const standIns = "packages/stand-ins/dist/main.js";
    const store = startNamed("store", [standIns, "store", "--port", String(FIRST_PORT)]);
    await store.firstOutputLine;
    const endpoints: string[] = [];
    for (let index = 0; index < ENDPOINT_PROCESSES; index++) {
        const process = startNamed(`endpoints-${index}`, [
            standIns,
            "endpoints",
            "--count",
            String(ENDPOINTS_PER_PROCESS),
        ]);
        endpoints.push(...(JSON.parse(await process.firstOutputLine) as { endpoints: string[] }).endpoints);
    }
    const vms = endpoints.map((address, index) => ({
        id: `endpoint-${index}`,
        role: "endpoint",
        address,
        dataCentre: "recife",
        rack: 0,
        accelerators: 0,
        state: "live",
    }));
    const vmListArgs = ["--port", String(FIRST_PORT + 1), "--vms", JSON.stringify(vms)];
    await startNamed("vm-list", [standIns, "vm-list", ...vmListArgs]).firstOutputLine;
    const relay = startNamed("relay", ["packages/measure/dist/relay.js", ...endpoints]);
    const { url } = JSON.parse(await relay.firstOutputLine) as { url: string };
    const addresses = getLoopbackAddresses(FIRST_PORT + 2);
    const settings = writeDaemonSettings(folder, {
        id: "entry-0",
        dataCentre: "recife",
        addresses,
        storeUrl: `http://127.0.0.1:${FIRST_PORT}`,
        vmListUrl: `http://127.0.0.1:${FIRST_PORT + 1}`,
        logLevel: "warn",
    });
    const daemon = startNamed("entry-0", ["packages/daemon/bin/balsamwardd.js", "--settings", settings]);
    await waitUntil(
        "the daemon responds",
        async () =>
            (await callOperatorApi(addresses.operations, "/v1/operator/status"))["node"] === "entry-0",
    );
    const documentText = readFileSync("examples/boliche-nordeste.ini", "utf8").replaceAll(
        /rate_per_second = \d+/g,
        "rate_per_second = 1000000",
    );
    await promoteDocument(addresses.operations, documentText);
    return {
        daemon: { url: `http://${addresses.callers}`, pid: daemon.child.pid! },
        relay: { url, pid: relay.child.pid! },
        direct: { url: endpoints[0]!, pid: started[1]!.child.pid! },
    };
}

async function runRound(target: Target, connections: number): Promise<TargetRound> {
    const cpuMsBefore = readCpuMs(target.pid);
    const load = await runLoad({
        url: target.url,
        token: CUSTOMER_TOKEN,
        connections,
        durationMs: LOAD_DURATION_MS,
    });
    const cpuMsUsed = readCpuMs(target.pid) - cpuMsBefore;
    return { load, cpuUsPerRequest: cpuMsUsed * 1_000 / (load.requestsPerSecond * LOAD_DURATION_MS / 1_000) };
}

type PathResult = {
    readonly daemonRounds: readonly TargetRound[];
    readonly relayRounds: readonly TargetRound[];
    readonly singleDaemon: TargetRound;
    readonly singleRelay: TargetRound;
    readonly singleDirect: TargetRound;
    readonly residentMb: number;
};

function toReport(result: PathResult): Report {
    const getMedian = (rounds: readonly TargetRound[], getValue: (round: TargetRound) => number) =>
        rounds.map(getValue).toSorted((left, right) => left - right)[Math.floor(rounds.length / 2)]!;
    const daemonThroughput = getMedian(result.daemonRounds, round => round.load.requestsPerSecond);
    const relayThroughput = getMedian(result.relayRounds, round => round.load.requestsPerSecond);
    const daemonCpuUs = getMedian(result.daemonRounds, round => round.cpuUsPerRequest);
    const relayCpuUs = getMedian(result.relayRounds, round => round.cpuUsPerRequest);
    const addedMs = result.singleDaemon.load.medianMs - result.singleDirect.load.medianMs;
    const checkedRounds = [...result.daemonRounds, result.singleDaemon];
    const wrongAnswers = checkedRounds.reduce((sum, round) => sum + round.load.wrongAnswers, 0);
    return {
        name: "path",
        failed: wrongAnswers > 0,
        rows: [
            ["requests/s, daemon", daemonThroughput.toFixed(0)],
            ["requests/s, relay", relayThroughput.toFixed(0)],
            [
                "throughput, daemon over relay",
                (daemonThroughput / relayThroughput).toFixed(2),
                `goal ${GOAL_THROUGHPUT_RATIO}`,
            ],
            ["processor time a request, daemon (us)", daemonCpuUs.toFixed(0)],
            ["processor time a request, relay (us)", relayCpuUs.toFixed(0)],
            ["median alone, daemon (ms)", result.singleDaemon.load.medianMs.toFixed(3)],
            ["median alone, relay (ms)", result.singleRelay.load.medianMs.toFixed(3)],
            ["median alone, endpoint itself (ms)", result.singleDirect.load.medianMs.toFixed(3)],
            ["added at the median (ms)", addedMs.toFixed(3), `goal ${GOAL_ADDED_LATENCY_MS}`],
            [
                "99th percentile loaded, daemon (ms)",
                getMedian(result.daemonRounds, round => round.load.p99Ms).toFixed(1),
            ],
            [
                "99th percentile loaded, relay (ms)",
                getMedian(result.relayRounds, round => round.load.p99Ms).toFixed(1),
            ],
            ["resident memory, daemon (MB)", result.residentMb.toFixed(0), `goal ${GOAL_RESIDENT_MB}`],
            ["wrong answers", String(wrongAnswers), "goal 0"],
        ],
    };
}
