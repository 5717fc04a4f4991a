import { mkdtempSync, readFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { callOperations, promoteText, waitUntil } from "./_lib/callOperations.js";
import { cpuMs, residentMb } from "./_lib/readProcess.js";
import type { Load } from "./_lib/runLoad.js";
import { runLoad } from "./_lib/runLoad.js";
import { LOAD_MS, ROUNDS, WARM_UP_MS } from "./constants.js";
import type { Report } from "./Report.js";
import type { StartedProcess } from "./startProcess.js";
import { startProcess } from "./startProcess.js";
import { loopbackAddresses, writeDaemonSettings } from "./writeSettings.js";

const FIRST_PORT = 7_700;
const ENDPOINT_PROCESSES = 4;
const ENDPOINTS_EACH = 8;
const CONNECTIONS = 64;
const TOKEN = "front-desks-token";
const GOAL_RATIO = 0.6;
const GOAL_ADDED_MS = 1;
const GOAL_MB = 128;

type Side = { readonly url: string; readonly pid: number };
type SideRound = { readonly load: Load; readonly cpuUsPerRequest: number };

/**
 * Measures throughput and added latency of one daemon beside a bare relay.
 *
 * @returns The report; it fails if an answer is cut or belongs to another request.
 */
export async function measurePath(): Promise<Report> {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-path-"));
    const started: StartedProcess[] = [];
    try {
        const { daemon, relay, direct } = await startSides(folder, started);
        for (const side of [daemon, relay]) {
            await runLoad({ url: side.url, token: TOKEN, connections: CONNECTIONS, durationMs: WARM_UP_MS });
        }
        const daemonRounds: SideRound[] = [];
        const relayRounds: SideRound[] = [];
        for (let round = 0; round < ROUNDS; round++) {
            daemonRounds.push(await runSide(daemon, CONNECTIONS));
            relayRounds.push(await runSide(relay, CONNECTIONS));
        }
        const alone = await runSide(daemon, 1);
        const aloneRelay = await runSide(relay, 1);
        const aloneDirect = await runSide(direct, 1);
        return describe({
            daemonRounds,
            relayRounds,
            alone,
            aloneRelay,
            aloneDirect,
            mb: residentMb(daemon.pid),
        });
    }
    finally {
        for (const process of started.toReversed()) {
            await process.stop();
        }
    }
}

async function startSides(folder: string, started: StartedProcess[]) {
    const run = (name: string, args: readonly string[]) => {
        const process = startProcess(name, args, folder);
        started.push(process);
        return process;
    };
    const standIns = "packages/stand-ins/dist/main.js";
    const store = run("store", [standIns, "store", "--port", String(FIRST_PORT)]);
    await store.firstLine;
    const endpoints: string[] = [];
    for (let index = 0; index < ENDPOINT_PROCESSES; index++) {
        const process = run(`endpoints-${index}`, [standIns, "endpoints", "--count", String(ENDPOINTS_EACH)]);
        endpoints.push(...(JSON.parse(await process.firstLine) as { endpoints: string[] }).endpoints);
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
    const list = ["--port", String(FIRST_PORT + 1), "--vms", JSON.stringify(vms)];
    await run("vm-list", [standIns, "vm-list", ...list]).firstLine;
    const relay = run("relay", ["packages/measure/dist/relay.js", ...endpoints]);
    const { url } = JSON.parse(await relay.firstLine) as { url: string };
    const addresses = loopbackAddresses(FIRST_PORT + 2);
    const settings = writeDaemonSettings(folder, {
        id: "entry-0",
        dataCentre: "recife",
        addresses,
        store: `http://127.0.0.1:${FIRST_PORT}`,
        vmList: `http://127.0.0.1:${FIRST_PORT + 1}`,
        logLevel: "warn",
    });
    const daemon = run("entry-0", ["packages/daemon/bin/balsamwardd.js", "--settings", settings]);
    await waitUntil(
        "the daemon answers",
        async () => (await callOperations(addresses.operations, "/v1/operator/status"))["node"] === "entry-0",
    );
    const text = readFileSync("examples/boliche-nordeste.ini", "utf8").replaceAll(
        /rate_per_second = \d+/g,
        "rate_per_second = 1000000",
    );
    await promoteText(addresses.operations, text);
    return {
        daemon: { url: `http://${addresses.callers}`, pid: daemon.child.pid! },
        relay: { url, pid: relay.child.pid! },
        direct: { url: endpoints[0]!, pid: started[1]!.child.pid! },
    };
}

async function runSide(side: Side, connections: number): Promise<SideRound> {
    const before = cpuMs(side.pid);
    const load = await runLoad({ url: side.url, token: TOKEN, connections, durationMs: LOAD_MS });
    const used = cpuMs(side.pid) - before;
    return { load, cpuUsPerRequest: used * 1_000 / (load.perSecond * LOAD_MS / 1_000) };
}

type PathResult = {
    readonly daemonRounds: readonly SideRound[];
    readonly relayRounds: readonly SideRound[];
    readonly alone: SideRound;
    readonly aloneRelay: SideRound;
    readonly aloneDirect: SideRound;
    readonly mb: number;
};

function describe(result: PathResult): Report {
    const median = (rounds: readonly SideRound[], of: (round: SideRound) => number) =>
        rounds.map(of).toSorted((left, right) => left - right)[Math.floor(rounds.length / 2)]!;
    const daemon = median(result.daemonRounds, round => round.load.perSecond);
    const relay = median(result.relayRounds, round => round.load.perSecond);
    const daemonCpu = median(result.daemonRounds, round => round.cpuUsPerRequest);
    const relayCpu = median(result.relayRounds, round => round.cpuUsPerRequest);
    const added = result.alone.load.medianMs - result.aloneDirect.load.medianMs;
    const all = [...result.daemonRounds, result.alone];
    const wrong = all.reduce((sum, round) => sum + round.load.wrong, 0);
    return {
        name: "path",
        failed: wrong > 0,
        rows: [
            ["requests/s, daemon", daemon.toFixed(0)],
            ["requests/s, relay", relay.toFixed(0)],
            ["throughput, daemon over relay", (daemon / relay).toFixed(2), `goal ${GOAL_RATIO}`],
            ["processor time a request, daemon (us)", daemonCpu.toFixed(0)],
            ["processor time a request, relay (us)", relayCpu.toFixed(0)],
            ["median alone, daemon (ms)", result.alone.load.medianMs.toFixed(3)],
            ["median alone, relay (ms)", result.aloneRelay.load.medianMs.toFixed(3)],
            ["median alone, endpoint itself (ms)", result.aloneDirect.load.medianMs.toFixed(3)],
            ["added at the median (ms)", added.toFixed(3), `goal ${GOAL_ADDED_MS}`],
            [
                "99th percentile loaded, daemon (ms)",
                median(result.daemonRounds, round => round.load.p99Ms).toFixed(1),
            ],
            [
                "99th percentile loaded, relay (ms)",
                median(result.relayRounds, round => round.load.p99Ms).toFixed(1),
            ],
            ["resident memory, daemon (MB)", result.mb.toFixed(0), `goal ${GOAL_MB}`],
            ["wrong answers", String(wrong), "goal 0"],
        ],
    };
}
