import type { DaemonAddresses, StartedProcess } from "@balsamward/measure";
import { writeCommandSettings } from "@balsamward/measure";
import { setTimeout as sleep } from "node:timers/promises";
import { runCommand } from "./runCommand.js";
import type { Parts } from "./startParts.js";
import { planDaemon, PORTS, startParts } from "./startParts.js";

const DOCUMENT = "examples/boliche-nordeste.ini";
const STEP_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 30_000;

type JobView = { readonly id: string; readonly stage: string; readonly workers: readonly string[] };
type Execution = { readonly kind: string };
type CellRow = { readonly cell: string; readonly owner?: string };
type Reservation = { readonly job: string; readonly state: string; readonly heldMs: number };

const failures: string[] = [];
const startedAt = Date.now();
const parts = startParts();
const commands = [0, 1, 2].map(index =>
    writeCommandSettings(parts.folder, planDaemon(index, "recife"), "league-secretaries")
);
const daemons = ["recife", "recife", "fortaleza"].map((dataCentre, index) =>
    parts.startDaemon(index, dataCentre)
);

try {
    await showPath(parts, daemons);
}
catch (error) {
    failures.push(String(error));
}
if (process.argv.includes("--stay")) {
    await stay();
}
await stopParts();
process.stdout.write(
    failures.length === 0
        ? `Every step was as promised, in ${seconds()} s.\n`
        : `${failures.length} steps were not as promised; the logs are in ${parts.folder}.\n`,
);
process.exit(failures.length === 0 ? 0 : 1);

async function showPath(all: Parts, running: readonly StartedProcess[]): Promise<void> {
    await until(
        "the daemons answer",
        async () => (await run(0, ["status"])).code === 0 && (await run(2, ["status"])).code === 0,
    );
    check("the document is checked", (await run(0, ["check", DOCUMENT])).code === 0);
    check("the document is tried", (await run(0, ["try", DOCUMENT, "--author", "demo"])).code === 0);
    check("the document is promoted", (await run(1, ["promote", "--author", "demo"])).code === 0);
    await until(
        "the document is in force on three daemons",
        async () => (await ready()).every(generation => generation === 1),
    );
    await until(
        "every cell has an owner",
        async () => (await cells(0)).every(row => row.owner !== undefined),
    );

    const submitted = await runJson<{ job: JobView }>(0, [
        "submit",
        "--kind",
        "lane-reconciliation",
        "--members",
        "4",
        "--accelerators",
        "8",
        "--adjacency",
        "rack",
        "--run-ms",
        "20000",
        "--key",
        "season-gang",
        "--wait",
        "running",
    ]);
    const { job } = submitted;
    check("a gang of 4 members runs whole", job.stage === "running" && (await countRunning(job.id)) === 4);

    const walkIn = await runJson<{ outcome: string; answer: { echo: string } }>(1, [
        "request",
        "--kind",
        "walk-in",
        "--payload",
        "{\"lane\":4}",
    ]);
    check("a walk-in is cleared with its own answer", walkIn.answer.echo === "{\"lane\":4}");

    const batch = ["request", "--kind", "season-batch", "--payload", "{\"club\":7}", "--key", "batch-7"];
    const first = await runJson<{ answer: object }>(0, batch);
    const second = await runJson<{ answer: object; repeated: boolean }>(2, batch);
    const executions = await fetchJson<readonly Execution[]>(
        `127.0.0.1:${PORTS.control}`,
        "/control/executions",
    );
    check(
        "a repeated season batch has the first answer",
        second.repeated && same(first.answer, second.answer),
    );
    check(
        "the season batch ran once",
        executions.filter(entry => entry.kind === "season-batch").length === 1,
    );

    const cell = job.id.slice(0, job.id.lastIndexOf("-"));
    const owner = (await cells(0)).find(row => row.cell === cell)?.owner ?? "";
    const victim = Number(owner.slice("entry-".length));
    const asked = (victim + 1) % 3;
    running[victim]!.child.kill("SIGKILL");
    say(`${owner}, the owner of ${cell}, is killed`);
    await until("another daemon owns the cell", async () => {
        const next = (await cells(asked)).find(row => row.cell === cell)?.owner;
        return next !== undefined && next !== owner;
    });
    check("the gang goes on whole", (await countRunning(job.id)) === 4);
    await until(
        "the gang ends",
        async () => (await runJson<{ job?: JobView }>(asked, ["job", job.id])).job?.stage === "ended",
    );
    await checkUsage(asked, job.id);
    say((await run(asked, ["usage"])).output.trimEnd());
    all.startDaemon(victim, "recife");
    await until(
        "a replacement of the killed daemon is ready",
        async () => (await ready()).every(generation => generation === 1),
    );
}

async function checkUsage(daemon: number, job: string): Promise<void> {
    const usage = await runJson<
        { jobs: readonly { id: string; guaranteed_hours: number; borrowed_hours: number }[] }
    >(
        daemon,
        ["usage"],
    );
    const row = usage.jobs.find(entry => entry.id === job);
    const counted = ((row?.guaranteed_hours ?? 0) + (row?.borrowed_hours ?? 0)) * 3_600;
    say(`the job's usage is ${counted.toFixed(3)} accelerator-seconds`);
    const heldMs = (await readReservations(job)).reduce((sum, entry) => sum + entry.heldMs, 0);
    check(
        "the gang's usage is what the workers measured",
        heldMs > 0 && Math.abs(counted * 1_000 - heldMs) < 1,
    );
}

async function countRunning(job: string): Promise<number> {
    const reservations = await readReservations(job);
    return reservations.filter(entry => entry.state === "running").length;
}

async function readReservations(job: string): Promise<readonly Reservation[]> {
    const agents = await fetchJson<{ vms: readonly { role: string; address: string }[] }>(
        `127.0.0.1:${PORTS.vmList}`,
        "/v1/vms",
    );
    const address = agents.vms.find(vm => vm.role === "worker")!.address;
    const response = await fetch(`${new URL(address).origin}/control/reservations`);
    return ((await response.json()) as readonly Reservation[]).filter(entry => entry.job === job);
}

async function run(daemon: number, args: readonly string[]) {
    return runCommand(commands[daemon]!, args);
}

async function runJson<T>(daemon: number, args: readonly string[]): Promise<T> {
    const { output, messages } = await run(daemon, ["--json", ...args]);
    try {
        return JSON.parse(output) as T;
    }
    catch {
        throw new Error(`'balsamward ${args.join(" ")}' printed no JSON: ${output} ${messages}`);
    }
}

async function cells(daemon: number): Promise<readonly CellRow[]> {
    const status = await runJson<{ cells?: readonly CellRow[] }>(daemon, ["status"]);
    return status.cells ?? [{ cell: "" }];
}

async function ready(): Promise<readonly number[]> {
    return Promise.all([0, 1, 2].map(async index => {
        const { generation } = await fetchJson<{ generation: number }>(
            addressesOf(index).operations,
            "/readyz",
        );
        return generation;
    }));
}

async function fetchJson<T>(address: string, path: string): Promise<T> {
    const response = await fetch(`http://${address}${path}`);
    return await response.json() as T;
}

async function until(what: string, holds: () => Promise<boolean>): Promise<void> {
    const deadline = Date.now() + STEP_TIMEOUT_MS;
    while (Date.now() < deadline) {
        if (await holds().catch(() => false)) {
            check(what, true);
            return;
        }
        await sleep(100);
    }
    check(what, false);
}

function addressesOf(index: number): DaemonAddresses {
    return planDaemon(index, "recife").addresses;
}

function check(what: string, holds: boolean): void {
    process.stdout.write(`${seconds().padStart(5)} s  ${holds ? "ok    " : "FAILED"}  ${what}\n`);
    if (!holds) {
        failures.push(what);
    }
}

function say(text: string): void {
    process.stdout.write(text.split("\n").map(line => `                 ${line}\n`).join(""));
}

function seconds(): string {
    return ((Date.now() - startedAt) / 1_000).toFixed(1);
}

function same(left: unknown, right: unknown): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}

async function stay(): Promise<void> {
    say(`callers: ${[0, 1, 2].map(index => `http://${addressesOf(index).callers}`).join(", ")}`);
    say(`operations: ${[0, 1, 2].map(index => `http://${addressesOf(index).operations}`).join(", ")}`);
    say(`settings of the command: ${commands.join(", ")}`);
    say("Press Ctrl+C to stop.");
    await new Promise<void>(resolve => process.once("SIGINT", () => resolve()));
}

async function stopParts(): Promise<void> {
    const live = parts.all.filter(part => part.child.exitCode === null && part.child.signalCode === null);
    const [daemonParts, platform] = [
        live.filter(part => part.name.startsWith("entry")),
        live.filter(part => !part.name.startsWith("entry")),
    ];
    daemonParts.forEach(part => part.child.kill("SIGTERM"));
    const codes = await Promise.race([
        Promise.all(daemonParts.map(part => part.ended)),
        sleep(STOP_TIMEOUT_MS).then(() => [1]),
    ]);
    check("the daemons stop gracefully", codes.every(code => code === 0));
    platform.forEach(part => part.child.kill("SIGTERM"));
    await Promise.race([Promise.all(platform.map(part => part.ended)), sleep(STOP_TIMEOUT_MS)]);
    live.filter(part => part.child.exitCode === null).forEach(part => part.child.kill("SIGKILL"));
}
