import type { DaemonAddresses, StartedProcess } from "@balsamward/measure";
import { writeCommandSettings } from "@balsamward/measure";
import { setTimeout as sleep } from "node:timers/promises";
import { runCommand } from "./runCommand.js";
import type { DemoProcesses } from "./startDemoProcesses.js";
import { getDaemonOptions, PORTS, startDemoProcesses } from "./startDemoProcesses.js";

const DOCUMENT = "examples/boliche-nordeste.ini";
const EXPECTATION_TIMEOUT_MS = 20_000;
const STOP_TIMEOUT_MS = 30_000;

type JobView = { readonly id: string; readonly stage: string; readonly workers: readonly string[] };
type Execution = { readonly kind: string };
type CellRow = { readonly cell: string; readonly owner?: string };
type Reservation = { readonly job: string; readonly state: string; readonly heldMs: number };

const failures: string[] = [];
const startedAt = Date.now();
const demoProcesses = startDemoProcesses();
const commandSettings = [0, 1, 2].map(index =>
    writeCommandSettings(demoProcesses.folder, getDaemonOptions(index, "recife"), "league-secretaries")
);
const daemons = ["recife", "recife", "fortaleza"].map((dataCentre, index) =>
    demoProcesses.startDaemon(index, dataCentre)
);

try {
    await runScenario(demoProcesses, daemons);
}
catch (error) {
    failures.push(String(error));
}
if (process.argv.includes("--stay")) {
    await waitForInterrupt();
}
await stopProcesses();
process.stdout.write(
    failures.length === 0
        ? `All checks passed in ${formatElapsedSeconds()} s.\n`
        : `${failures.length} checks failed. See the logs in ${demoProcesses.folder}.\n`,
);
process.exit(failures.length === 0 ? 0 : 1);

async function runScenario(
    processes: DemoProcesses,
    daemonProcesses: readonly StartedProcess[],
): Promise<void> {
    await expectEventually(
        "the daemons respond",
        async () =>
            (await runForDaemon(0, ["status"])).code === 0
            && (await runForDaemon(2, ["status"])).code === 0,
    );
    expectNow("the document is valid", (await runForDaemon(0, ["check", DOCUMENT])).code === 0);
    expectNow(
        "the document is accepted in trial",
        (await runForDaemon(0, ["try", DOCUMENT, "--author", "demo"])).code === 0,
    );
    expectNow(
        "the document is promoted to production",
        (await runForDaemon(1, ["promote", "--author", "demo"])).code === 0,
    );
    await expectEventually(
        "all three daemons use the document",
        async () => (await readGenerations()).every(generation => generation === 1),
    );
    await expectEventually(
        "every cell has an owner",
        async () => (await readCells(0)).every(row => row.owner !== undefined),
    );

    const submitted = await runJsonForDaemon<{ job: JobView }>(0, [
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
    expectNow(
        "all 4 members of a gang run",
        job.stage === "running" && (await countRunningReservations(job.id)) === 4,
    );

    const walkIn = await runJsonForDaemon<{ outcome: string; answer: { echo: string } }>(1, [
        "request",
        "--kind",
        "walk-in",
        "--payload",
        "{\"lane\":4}",
    ]);
    expectNow("a walk-in request gets the answer to its own payload", walkIn.answer.echo === "{\"lane\":4}");

    const batchArgs = ["request", "--kind", "season-batch", "--payload", "{\"club\":7}", "--key", "batch-7"];
    const firstAnswer = await runJsonForDaemon<{ answer: object }>(0, batchArgs);
    const secondAnswer = await runJsonForDaemon<{ answer: object; repeated: boolean }>(2, batchArgs);
    const executions = await fetchJson<readonly Execution[]>(
        `127.0.0.1:${PORTS.control}`,
        "/control/executions",
    );
    expectNow(
        "a season batch repeated with the same key gets the first answer",
        secondAnswer.repeated && isSameJson(firstAnswer.answer, secondAnswer.answer),
    );
    expectNow(
        "the season batch ran only once",
        executions.filter(entry => entry.kind === "season-batch").length === 1,
    );

    const cell = job.id.slice(0, job.id.lastIndexOf("-"));
    const owner = (await readCells(0)).find(row => row.cell === cell)?.owner ?? "";
    const killedIndex = Number(owner.slice("entry-".length));
    const survivorIndex = (killedIndex + 1) % 3;
    daemonProcesses[killedIndex]!.child.kill("SIGKILL");
    printNote(`killed ${owner}, the owner of ${cell}`);
    await expectEventually("another daemon takes over the cell", async () => {
        const currentOwner = (await readCells(survivorIndex)).find(row => row.cell === cell)?.owner;
        return currentOwner !== undefined && currentOwner !== owner;
    });
    expectNow("all 4 members of the gang still run", (await countRunningReservations(job.id)) === 4);
    await expectEventually(
        "the gang's job ends",
        async () =>
            (await runJsonForDaemon<{ job?: JobView }>(survivorIndex, ["job", job.id])).job?.stage
                === "ended",
    );
    await checkUsage(survivorIndex, job.id);
    printNote((await runForDaemon(survivorIndex, ["usage"])).stdout.trimEnd());
    processes.startDaemon(killedIndex, "recife");
    await expectEventually(
        "the restarted daemon is ready",
        async () => (await readGenerations()).every(generation => generation === 1),
    );
}

async function checkUsage(daemonIndex: number, job: string): Promise<void> {
    const usage = await runJsonForDaemon<
        { jobs: readonly { id: string; guaranteed_hours: number; borrowed_hours: number }[] }
    >(
        daemonIndex,
        ["usage"],
    );
    const row = usage.jobs.find(entry => entry.id === job);
    const usedSeconds = ((row?.guaranteed_hours ?? 0) + (row?.borrowed_hours ?? 0)) * 3_600;
    printNote(`the job's usage is ${usedSeconds.toFixed(3)} accelerator-seconds`);
    const heldMs = (await readReservations(job)).reduce((sum, entry) => sum + entry.heldMs, 0);
    expectNow(
        "the job's recorded usage equals the time measured by the workers",
        heldMs > 0 && Math.abs(usedSeconds * 1_000 - heldMs) < 1,
    );
}

async function countRunningReservations(job: string): Promise<number> {
    const reservations = await readReservations(job);
    return reservations.filter(entry => entry.state === "running").length;
}

async function readReservations(job: string): Promise<readonly Reservation[]> {
    const vmList = await fetchJson<{ vms: readonly { role: string; address: string }[] }>(
        `127.0.0.1:${PORTS.vmList}`,
        "/v1/vms",
    );
    const address = vmList.vms.find(vm => vm.role === "worker")!.address;
    const response = await fetch(`${new URL(address).origin}/control/reservations`);
    return ((await response.json()) as readonly Reservation[]).filter(entry => entry.job === job);
}

async function runForDaemon(daemonIndex: number, args: readonly string[]) {
    return runCommand(commandSettings[daemonIndex]!, args);
}

async function runJsonForDaemon<T>(daemonIndex: number, args: readonly string[]): Promise<T> {
    const { stdout, stderr } = await runForDaemon(daemonIndex, ["--json", ...args]);
    try {
        return JSON.parse(stdout) as T;
    }
    catch {
        throw new Error(
            `'balsamward ${
                args.join(" ")
            }' did not print valid JSON. Standard output: ${stdout} Standard error: ${stderr}`,
        );
    }
}

async function readCells(daemonIndex: number): Promise<readonly CellRow[]> {
    const status = await runJsonForDaemon<{ cells?: readonly CellRow[] }>(daemonIndex, ["status"]);
    return status.cells ?? [{ cell: "" }];
}

async function readGenerations(): Promise<readonly number[]> {
    return Promise.all([0, 1, 2].map(async index => {
        const { generation } = await fetchJson<{ generation: number }>(
            getAddresses(index).operations,
            "/readyz",
        );
        return generation;
    }));
}

async function fetchJson<T>(address: string, path: string): Promise<T> {
    const response = await fetch(`http://${address}${path}`);
    return await response.json() as T;
}

async function expectEventually(expectation: string, condition: () => Promise<boolean>): Promise<void> {
    const deadlineMs = Date.now() + EXPECTATION_TIMEOUT_MS;
    while (Date.now() < deadlineMs) {
        if (await condition().catch(() => false)) {
            expectNow(expectation, true);
            return;
        }
        await sleep(100);
    }
    expectNow(expectation, false);
}

function getAddresses(index: number): DaemonAddresses {
    return getDaemonOptions(index, "recife").addresses;
}

function expectNow(expectation: string, passed: boolean): void {
    process.stdout.write(
        `${formatElapsedSeconds().padStart(5)} s  ${passed ? "ok    " : "FAILED"}  ${expectation}\n`,
    );
    if (!passed) {
        failures.push(expectation);
    }
}

function printNote(text: string): void {
    process.stdout.write(text.split("\n").map(line => `                 ${line}\n`).join(""));
}

function formatElapsedSeconds(): string {
    return ((Date.now() - startedAt) / 1_000).toFixed(1);
}

function isSameJson(left: unknown, right: unknown): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}

async function waitForInterrupt(): Promise<void> {
    printNote(`customer API: ${[0, 1, 2].map(index => `http://${getAddresses(index).callers}`).join(", ")}`);
    printNote(
        `operator API: ${[0, 1, 2].map(index => `http://${getAddresses(index).operations}`).join(", ")}`,
    );
    printNote(`settings files for '--settings': ${commandSettings.join(", ")}`);
    printNote("Press Ctrl+C to stop the demo.");
    await new Promise<void>(resolve => process.once("SIGINT", () => resolve()));
}

async function stopProcesses(): Promise<void> {
    const liveProcesses = demoProcesses.processes.filter(started =>
        started.child.exitCode === null && started.child.signalCode === null
    );
    const [liveDaemons, liveStandIns] = [
        liveProcesses.filter(started => started.name.startsWith("entry")),
        liveProcesses.filter(started => !started.name.startsWith("entry")),
    ];
    liveDaemons.forEach(started => started.child.kill("SIGTERM"));
    const exitCodes = await Promise.race([
        Promise.all(liveDaemons.map(started => started.exited)),
        sleep(STOP_TIMEOUT_MS).then(() => [1]),
    ]);
    expectNow("the daemons stop gracefully", exitCodes.every(code => code === 0));
    liveStandIns.forEach(started => started.child.kill("SIGTERM"));
    await Promise.race([Promise.all(liveStandIns.map(started => started.exited)), sleep(STOP_TIMEOUT_MS)]);
    liveProcesses.filter(started => started.child.exitCode === null).forEach(started =>
        started.child.kill("SIGKILL")
    );
}
