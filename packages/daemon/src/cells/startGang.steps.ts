import { JobStage, Outcome } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { StoreFault } from "../../../../features/support/FakeStore.js";
import type { CommandFault } from "../../../../features/support/gang/CommandFaults.js";
import { MEMBERS_PER_GANG } from "../../../../features/support/gang/gangTestCell.js";
import { GangTestHarness } from "../../../../features/support/GangTestHarness.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { describeJob } from "../operations/describeJob.js";

const RUN_MS = 8_000;
const SETTLE_MS = 500;
const SIMULATION_MS = 90_000;
const COMMAND_COUNT = 8;
const WRITE_COUNT = 6;
const OUTAGE_MS = 3_600_000;

/** State of one job after a simulated run, with the invariant violations seen during it. */
type RunResult = {
    readonly label: string;
    readonly violations: readonly string[];
    readonly completed: boolean;
    readonly stage: string;
    readonly usageMs: number;
    readonly measuredMs: number;
};

When("a gang runs without faults", async function(this: TestWorld) {
    const harness = await openHarness();
    await harness.submit("g", "a", RUN_MS);
    const stages: object[] = [];
    for (const ms of [SETTLE_MS, RUN_MS, SETTLE_MS * 4]) {
        await harness.advance(ms);
        stages.push(describeJob(harness.job("g")!));
    }
    this.notes.set("stages", stages);
    await harness.close();
});

Then("the states of its job over time match the snapshot", function(this: TestWorld) {
    this.expectSnapshot(this.note("stages"));
});

When(
    "a gang is run with the fault {string} at each of its commands in turn",
    async function(this: TestWorld, fault: string) {
        const runs: RunResult[] = [];
        for (let commandNumber = 1; commandNumber <= COMMAND_COUNT; commandNumber++) {
            const harness = await openHarness();
            harness.scheduleFault(fault as CommandFault, commandNumber);
            await harness.submit("g", "a", RUN_MS);
            await harness.advance(SIMULATION_MS);
            runs.push(collectRunResult(`${fault} at command ${commandNumber}`, harness, "g"));
            await harness.close();
        }
        this.notes.set("runs", runs);
    },
);

When(
    "a gang is run with the store fault {string} at each of its writes in turn",
    async function(this: TestWorld, fault: string) {
        const runs: RunResult[] = [];
        for (let writeNumber = 0; writeNumber < WRITE_COUNT; writeNumber++) {
            const harness = await openHarness();
            await harness.submit("g", "a", RUN_MS);
            harness.store.writeFaults = [
                ...Array.from({ length: writeNumber }, () => "none" as const),
                fault as StoreFault,
            ];
            await harness.advance(SIMULATION_MS);
            runs.push(collectRunResult(`${fault} at write ${writeNumber}`, harness, "g"));
            await harness.close();
        }
        this.notes.set("runs", runs);
    },
);

Given("borrowing jobs fill the cell", async function(this: TestWorld) {
    this.notes.set("harness", await openHarnessWithFullCell());
});

When("the customer with the guarantee submits a gang", async function(this: TestWorld) {
    const harness = this.note<GangTestHarness>("harness");
    await harness.submit("g", "a", RUN_MS);
});

Then("the gang runs within {int} ms", async function(this: TestWorld, ms: number) {
    const harness = this.note<GangTestHarness>("harness");
    await harness.advance(ms);
    assert.equal(harness.job("g")!.stage, JobStage.RUNNING);
});

Then(
    "one borrowing job is queued again and each of its members has written a checkpoint",
    async function(this: TestWorld) {
        const harness = this.note<GangTestHarness>("harness");
        const waiting = ["b1", "b2"].filter(id => harness.job(id)!.stage === JobStage.QUEUED);
        assert.equal(waiting.length, 1);
        const stopped = harness.listReports().filter(report => report.job.endsWith(`-${waiting[0]}`));
        assert.ok(
            stopped.length === 2
                && stopped.every(report => report.state === "stopped" && report.checkpoints === 1),
        );
        await harness.close();
    },
);

When(
    "a guarantee is reclaimed with the fault {string} at each of the first {int} commands in turn",
    async function(this: TestWorld, fault: string, commands: number) {
        const runs: RunResult[] = [];
        for (let commandNumber = 1; commandNumber <= commands; commandNumber++) {
            const harness = await openHarnessWithFullCell();
            harness.scheduleFault(fault as CommandFault, commandNumber);
            await harness.submit("g", "a", RUN_MS);
            await harness.advance(SIMULATION_MS);
            for (const id of ["g", "b1", "b2"]) {
                runs.push(collectRunResult(`${fault} at command ${commandNumber}, ${id}`, harness, id));
            }
            await harness.close();
        }
        this.notes.set("runs", runs);
    },
);

When("a gang runs while one worker fails every task", async function(this: TestWorld) {
    const harness = await openHarness();
    harness.workers.get("recife-w0")!.faults.failsTasks = true;
    await harness.submit("g", "b", RUN_MS);
    await harness.advance(SIMULATION_MS);
    this.notes.set("runs", [collectRunResult("a failing worker", harness, "g")]);
    await harness.close();
});

When("the store is unavailable for one hour while a gang runs", async function(this: TestWorld) {
    const harness = await openHarness();
    await harness.submit("g", "a", OUTAGE_MS + RUN_MS);
    await harness.advance(SETTLE_MS);
    harness.store.isDown = true;
    await harness.advance(OUTAGE_MS);
    harness.store.isDown = false;
    await harness.advance(SIMULATION_MS);
    this.notes.set("runs", [collectRunResult("a store outage of one hour", harness, "g")]);
    await harness.close();
});

Then("no gang runs incomplete for longer than the maximum time", function(this: TestWorld) {
    assertNone(this.note<readonly RunResult[]>("runs").filter(run => run.violations.length > 0));
});

Then("every gang completes", function(this: TestWorld) {
    assertNone(this.note<readonly RunResult[]>("runs").filter(run => !run.completed));
});

Then(
    "the accounted usage matches the usage that the workers measured within {int} accelerator-seconds",
    function(this: TestWorld, tolerance: number) {
        const runs = this.note<readonly RunResult[]>("runs");
        assertNone(runs.filter(run => Math.abs(run.usageMs - run.measuredMs) > tolerance * 1_000));
    },
);

async function openHarness(): Promise<GangTestHarness> {
    const harness = new GangTestHarness();
    await harness.takeOver();
    await harness.advance(SETTLE_MS);
    return harness;
}

async function openHarnessWithFullCell(): Promise<GangTestHarness> {
    const harness = await openHarness();
    await harness.submit("b1", "b", RUN_MS * 2);
    await harness.submit("b2", "b", RUN_MS * 2);
    await harness.advance(SETTLE_MS * 4);
    return harness;
}

function collectRunResult(label: string, harness: GangTestHarness, id: string): RunResult {
    const job = harness.job(id);
    return {
        label,
        violations: harness.violations,
        completed: job?.stage === JobStage.ENDED && job.outcome === Outcome.COMPLETED,
        stage: job === undefined ? "missing" : `${JobStage[job.stage]} after ${job.attempts} attempts`,
        usageMs: Number((job?.guaranteedHeldMs ?? 0n) + (job?.borrowedHeldMs ?? 0n)),
        measuredMs: harness.measureHeldMs(id),
    };
}

function assertNone(runs: readonly RunResult[]): void {
    assert.ok(runs.length === 0, `${runs.length} runs, such as ${JSON.stringify(runs.slice(0, 4))}`);
}

When(
    "a gang runs and a new owner takes over that does not reach the worker of a member",
    async function(this: TestWorld) {
        const harness = new GangTestHarness();
        this.notes.set("harness", harness);
        this.cleanups.push(() => harness.close());
        await harness.takeOver();
        await harness.submit("1", "b", 60_000);
        await harness.advance(2_000);
        this.notes.set("reservations", listRunningReservations(harness));
        const takeover = harness.takeOverBesideSilentWorker("1");
        await harness.advance(100);
        await takeover;
    },
);

Then("no member of the gang runs a second time within {int} ms", async function(this: TestWorld, ms: number) {
    const harness = this.note<GangTestHarness>("harness");
    const before = this.note<readonly string[]>("reservations");
    assert.equal(before.length, MEMBERS_PER_GANG);
    await harness.advance(ms);
    assert.deepEqual(listRunningReservations(harness).filter(id => !before.includes(id)), []);
});

/** Returns the reservation of each running member. */
function listRunningReservations(harness: GangTestHarness): readonly string[] {
    return harness.listReports().filter(({ state }) => state === "running").map(({ id }) => id);
}
