import { JobStage, Outcome } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { StoreFault } from "../../../../features/support/FakeStore.js";
import type { CommandFault } from "../../../../features/support/GangTestHarness.js";
import { GangTestHarness } from "../../../../features/support/GangTestHarness.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { describeJob } from "../operations/describeJob.js";

const RUN_MS = 8_000;
const SETTLE_MS = 500;
const LIFE_MS = 90_000;
const COMMANDS = 8;
const WRITES = 6;
const HOUR_MS = 3_600_000;

/** The end of one run. */
type Run = {
    readonly label: string;
    readonly violations: readonly string[];
    readonly completed: boolean;
    readonly stage: string;
    readonly usageMs: number;
    readonly measuredMs: number;
};

When("a gang runs without faults", async function(this: TestWorld) {
    const lab = await openLab();
    await lab.submit("g", "a", RUN_MS);
    const stages: object[] = [];
    for (const ms of [SETTLE_MS, RUN_MS, SETTLE_MS * 4]) {
        await lab.advance(ms);
        stages.push(describeJob(lab.job("g")!));
    }
    this.notes.set("stages", stages);
    await lab.close();
});

Then("its life is as in its snapshot", function(this: TestWorld) {
    this.expectSnapshot(this.note("stages"));
});

When("a gang meets {string} at each of its commands", async function(this: TestWorld, fault: string) {
    const runs: Run[] = [];
    for (let at = 1; at <= COMMANDS; at++) {
        const lab = await openLab();
        lab.scheduleFault(fault as CommandFault, at);
        await lab.submit("g", "a", RUN_MS);
        await lab.advance(LIFE_MS);
        runs.push(describeRun(`${fault} at command ${at}`, lab, "g"));
        await lab.close();
    }
    this.notes.set("runs", runs);
});

When(
    "a gang meets the store fault {string} at each of its writes",
    async function(this: TestWorld, fault: string) {
        const runs: Run[] = [];
        for (let at = 0; at < WRITES; at++) {
            const lab = await openLab();
            await lab.submit("g", "a", RUN_MS);
            lab.store.writeFaults = [
                ...Array.from({ length: at }, () => "none" as const),
                fault as StoreFault,
            ];
            await lab.advance(LIFE_MS);
            runs.push(describeRun(`${fault} at write ${at}`, lab, "g"));
            await lab.close();
        }
        this.notes.set("runs", runs);
    },
);

Given("borrowers fill the cell", async function(this: TestWorld) {
    this.notes.set("lab", await openFullLab());
});

When("the owner of the guarantee submits a gang", async function(this: TestWorld) {
    const lab = this.note<GangTestHarness>("lab");
    await lab.submit("g", "a", RUN_MS);
});

Then("the gang runs within {int} ms", async function(this: TestWorld, ms: number) {
    const lab = this.note<GangTestHarness>("lab");
    await lab.advance(ms);
    assert.equal(lab.job("g")!.stage, JobStage.RUNNING);
});

Then("the stopped borrowers have written checkpoints and wait whole", async function(this: TestWorld) {
    const lab = this.note<GangTestHarness>("lab");
    const waiting = ["b1", "b2"].filter(id => lab.job(id)!.stage === JobStage.QUEUED);
    assert.equal(waiting.length, 1);
    const stopped = lab.listReports().filter(report => report.job.endsWith(`-${waiting[0]}`));
    assert.ok(
        stopped.length === 2
            && stopped.every(report => report.state === "stopped" && report.checkpoints === 1),
    );
    await lab.close();
});

When(
    "a guarantee is reclaimed and meets {string} at each of the first {int} commands",
    async function(this: TestWorld, fault: string, commands: number) {
        const runs: Run[] = [];
        for (let at = 1; at <= commands; at++) {
            const lab = await openFullLab();
            lab.scheduleFault(fault as CommandFault, at);
            await lab.submit("g", "a", RUN_MS);
            await lab.advance(LIFE_MS);
            for (const id of ["g", "b1", "b2"]) {
                runs.push(describeRun(`${fault} at command ${at}, ${id}`, lab, id));
            }
            await lab.close();
        }
        this.notes.set("runs", runs);
    },
);

When("a gang runs while one worker fails every task", async function(this: TestWorld) {
    const lab = await openLab();
    lab.workers.get("recife-w0")!.faults.failsTasks = true;
    await lab.submit("g", "b", RUN_MS);
    await lab.advance(LIFE_MS);
    this.notes.set("runs", [describeRun("a failing worker", lab, "g")]);
    await lab.close();
});

When("the store is down for an hour while a gang runs", async function(this: TestWorld) {
    const lab = await openLab();
    await lab.submit("g", "a", HOUR_MS + RUN_MS);
    await lab.advance(SETTLE_MS);
    lab.store.isDown = true;
    await lab.advance(HOUR_MS);
    lab.store.isDown = false;
    await lab.advance(LIFE_MS);
    this.notes.set("runs", [describeRun("an hour without the store", lab, "g")]);
    await lab.close();
});

Then("no gang runs broken beyond the bound", function(this: TestWorld) {
    expectNone(this.note<readonly Run[]>("runs").filter(run => run.violations.length > 0));
});

Then("every gang completes", function(this: TestWorld) {
    expectNone(this.note<readonly Run[]>("runs").filter(run => !run.completed));
});

Then(
    "the usage is what the workers measured, within {int} accelerator-seconds",
    function(this: TestWorld, tolerance: number) {
        const runs = this.note<readonly Run[]>("runs");
        expectNone(runs.filter(run => Math.abs(run.usageMs - run.measuredMs) > tolerance * 1_000));
    },
);

async function openLab(): Promise<GangTestHarness> {
    const lab = new GangTestHarness();
    await lab.takeOver();
    await lab.advance(SETTLE_MS);
    return lab;
}

async function openFullLab(): Promise<GangTestHarness> {
    const lab = await openLab();
    await lab.submit("b1", "b", RUN_MS * 2);
    await lab.submit("b2", "b", RUN_MS * 2);
    await lab.advance(SETTLE_MS * 4);
    return lab;
}

function describeRun(label: string, lab: GangTestHarness, id: string): Run {
    const job = lab.job(id);
    return {
        label,
        violations: lab.violations,
        completed: job?.stage === JobStage.ENDED && job.outcome === Outcome.COMPLETED,
        stage: job === undefined ? "missing" : `${JobStage[job.stage]} after ${job.attempts} attempts`,
        usageMs: Number((job?.guaranteedHeldMs ?? 0n) + (job?.borrowedHeldMs ?? 0n)),
        measuredMs: lab.measureHeldMs(id),
    };
}

function expectNone(runs: readonly Run[]): void {
    assert.ok(runs.length === 0, `${runs.length} runs, such as ${JSON.stringify(runs.slice(0, 4))}`);
}
