import type { StartedProcess } from "@balsamward/measure";
import type { Checks } from "./Checks.js";
import type { DemoClient, JobView } from "./DemoClient.js";
import type { DemoProcesses } from "./startDemoProcesses.js";

/** The running processes of the demo, with the checks on them. */
export type Demo = {
    readonly processes: DemoProcesses;
    /** The daemons in the order of their indexes. */
    readonly daemons: readonly StartedProcess[];
    readonly client: DemoClient;
    readonly checks: Checks;
};

/** An owner of a cell that was killed. */
type KilledOwner = {
    /** Index of the killed daemon. */
    readonly killedIndex: number;
    /** Index of a daemon that still runs. */
    readonly survivorIndex: number;
};

const DOCUMENT = "examples/boliche-nordeste.ini";

/**
 * Runs the demo: configures the daemons, runs a gang and requests, and kills the owner of the gang's cell.
 *
 * @param demo - The running processes.
 * @throws If a command does not print what the scenario needs to continue.
 */
export async function runScenario(demo: Demo): Promise<void> {
    await checkConfiguration(demo);
    const job = await checkGang(demo);
    await checkWalkInRequest(demo);
    await checkRepeatedRequest(demo);
    const { killedIndex, survivorIndex } = await checkTakeover(demo, job);
    await checkJobEnd(demo, survivorIndex, job);
    await checkRestart(demo, killedIndex);
}

/** Promotes the example document and waits until it is in force. */
async function checkConfiguration({ checks, client }: Demo): Promise<void> {
    await checks.expectEventually(
        "the daemons respond",
        async () =>
            (await client.run(0, ["status"])).code === 0
            && (await client.run(2, ["status"])).code === 0,
    );
    checks.expectNow("the document is valid", (await client.run(0, ["check", DOCUMENT])).code === 0);
    checks.expectNow(
        "the document is accepted in trial",
        (await client.run(0, ["try", DOCUMENT, "--author", "demo"])).code === 0,
    );
    checks.expectNow(
        "the document is promoted to production",
        (await client.run(1, ["promote", "--author", "demo"])).code === 0,
    );
    await checks.expectEventually(
        "all three daemons use the document",
        async () => (await client.readGenerations()).every(generation => generation === 1),
    );
    await checks.expectEventually(
        "every cell has an owner",
        async () => (await client.readCells(0)).every(row => row.owner !== undefined),
    );
}

/** Submits a gang and returns the id of its job, which runs. */
async function checkGang({ checks, client }: Demo): Promise<string> {
    const { job } = await client.runJson<{ job: JobView }>(0, [
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
    checks.expectNow(
        "all 4 members of a gang run",
        job.stage === "running" && (await client.countRunningReservations(job.id)) === 4,
    );
    return job.id;
}

async function checkWalkInRequest({ checks, client }: Demo): Promise<void> {
    const walkIn = await client.runJson<{ outcome: string; answer: { echo: string } }>(1, [
        "request",
        "--kind",
        "walk-in",
        "--payload",
        "{\"lane\":4}",
    ]);
    checks.expectNow(
        "a walk-in request gets the answer to its own payload",
        walkIn.answer.echo === "{\"lane\":4}",
    );
}

/** Sends a request twice with the same idempotency key, to two daemons. */
async function checkRepeatedRequest({ checks, client }: Demo): Promise<void> {
    const batchArgs = ["request", "--kind", "season-batch", "--payload", "{\"club\":7}", "--key", "batch-7"];
    const firstAnswer = await client.runJson<{ answer: object }>(0, batchArgs);
    const secondAnswer = await client.runJson<{ answer: object; repeated: boolean }>(2, batchArgs);
    checks.expectNow(
        "a season batch repeated with the same key gets the first answer",
        secondAnswer.repeated && isSameJson(firstAnswer.answer, secondAnswer.answer),
    );
    checks.expectNow(
        "the season batch ran only once",
        (await client.countExecutions("season-batch")) === 1,
    );
}

/** Kills the owner of a job's cell, and checks that the job survives. */
async function checkTakeover({ checks, client, daemons }: Demo, job: string): Promise<KilledOwner> {
    const cell = job.slice(0, job.lastIndexOf("-"));
    const owner = (await client.readCells(0)).find(row => row.cell === cell)?.owner ?? "";
    const killedIndex = Number(owner.slice("entry-".length));
    const survivorIndex = (killedIndex + 1) % daemons.length;
    daemons[killedIndex]!.child.kill("SIGKILL");
    checks.printNote(`killed ${owner}, the owner of ${cell}`);
    await checks.expectEventually("another daemon takes over the cell", async () => {
        const currentOwner = (await client.readCells(survivorIndex)).find(row => row.cell === cell)?.owner;
        return currentOwner !== undefined && currentOwner !== owner;
    });
    checks.expectNow(
        "all 4 members of the gang still run",
        (await client.countRunningReservations(job)) === 4,
    );
    return { killedIndex, survivorIndex };
}

async function checkJobEnd(demo: Demo, survivorIndex: number, job: string): Promise<void> {
    const { checks, client } = demo;
    await checks.expectEventually(
        "the gang's job ends",
        async () =>
            (await client.runJson<{ job?: JobView }>(survivorIndex, ["job", job])).job?.stage
                === "ended",
    );
    await checkUsage(demo, survivorIndex, job);
    checks.printNote((await client.run(survivorIndex, ["usage"])).stdout.trimEnd());
}

async function checkUsage({ checks, client }: Demo, daemonIndex: number, job: string): Promise<void> {
    const usage = await client.runJson<
        { jobs: readonly { id: string; guaranteed_hours: number; borrowed_hours: number }[] }
    >(
        daemonIndex,
        ["usage"],
    );
    const row = usage.jobs.find(entry => entry.id === job);
    const usedSeconds = ((row?.guaranteed_hours ?? 0) + (row?.borrowed_hours ?? 0)) * 3_600;
    checks.printNote(`the job's usage is ${usedSeconds.toFixed(3)} accelerator-seconds`);
    const heldMs = (await client.readReservations(job)).reduce((sum, entry) => sum + entry.heldMs, 0);
    checks.expectNow(
        "the job's recorded usage equals the time measured by the workers",
        heldMs > 0 && Math.abs(usedSeconds * 1_000 - heldMs) < 1,
    );
}

async function checkRestart({ checks, client, processes }: Demo, killedIndex: number): Promise<void> {
    processes.startDaemon(killedIndex, "recife");
    await checks.expectEventually(
        "the restarted daemon is ready",
        async () => (await client.readGenerations()).every(generation => generation === 1),
    );
}

function isSameJson(left: unknown, right: unknown): boolean {
    return JSON.stringify(left) === JSON.stringify(right);
}
