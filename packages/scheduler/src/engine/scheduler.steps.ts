import type { StepSchema } from "@balsamward/schema/scheduling";
import type { OrderFault, WriteFault } from "@balsamward/stand-ins";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { SchedulerLab } from "../../../../features/support/SchedulerLab.js";
import { jobOf, labOf } from "../../../../features/support/schedulerNotes.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { RunEndKind, WorkerId } from "../index.js";
import { storeKeys } from "../storeKeys.js";

type StepInit = MessageInitShape<typeof StepSchema>;

const MS_PER_SECOND = 1_000;

/** Parses a step; '4 x 8 gang one-rack checkpoints after 0' has four tasks with eight accelerators each. */
function parseStep(text: string): StepInit {
    const [, count, accelerators, rest] = /^(\d+) x (\d+)(.*)$/.exec(text.trim())!;
    const traits = rest ?? "";
    return {
        taskCount: Number(count),
        request: { cpuMillis: 1_000, memoryMb: 1_000, accelerators: Number(accelerators) },
        estimatedMs: 5_000,
        gang: traits.includes("gang"),
        sameRack: traits.includes("one-rack"),
        checkpoints: traits.includes("checkpoints"),
        copiesAllowed: traits.includes("copies"),
        lasting: traits.includes("lasting"),
        fillsIdle: traits.includes("fills"),
        tailTargetMs: traits.includes("serving") ? 100 : 0,
        maxPerWorker: traits.includes("spread") ? 1 : 0,
        maxUnavailable: traits.includes("available") ? 1 : 0,
        after: /after (\d+)/.exec(traits) === null ? [] : [Number(/after (\d+)/.exec(traits)![1])],
    };
}

Given("a fleet of {int} workers with an owner", async function(this: TestWorld, count: number) {
    const lab = new SchedulerLab();
    lab.addWorkers(count);
    this.notes.set("lab", lab);
    this.cleanups.push(() => lab.terms.forEach(term => term.end.abort()));
    await lab.begin();
});

When(
    "{word} submits the {word} job {word} of {string}",
    async function(this: TestWorld, customer: string, queue: string, name: string, steps: string) {
        this.notes.set(`job ${name}`, labOf(this).submit(queue, customer, steps.split(";").map(parseStep)));
        await labOf(this).advance(100);
    },
);

When("{float} second(s) pass(es)", async function(this: TestWorld, seconds: number) {
    await labOf(this).advance(seconds * MS_PER_SECOND);
});

When("{int} seconds pass while all runs make progress", async function(this: TestWorld, seconds: number) {
    for (let passed = 0; passed < seconds; passed++) {
        const runs = [...labOf(this).workers.values()].flatMap(worker => [...worker.running.values()]);
        runs.forEach(run => run.percent += 1);
        await labOf(this).advance(MS_PER_SECOND);
    }
});

When("{word} is cancelled by its caller", async function(this: TestWorld, name: string) {
    labOf(this).cancel(jobOf(this, name));
    await labOf(this).advance(100);
});

When("the owner dies", function(this: TestWorld) {
    labOf(this).kill();
});

When("a new owner takes over", async function(this: TestWorld) {
    await labOf(this).begin();
    await labOf(this).advance(500);
});

When(
    "task {word} of {word} ends as {word}",
    async function(this: TestWorld, task: string, job: string, endKind: string) {
        const name = `${jobOf(this, job)}.${task}`;
        const worker = labOf(this).workerOf(name);
        assert.ok(worker, `The task '${name}' does not run.`);
        worker.finish(name, endKind as RunEndKind, endKind === "stopped" ? "saved" : "");
        await labOf(this).advance(200);
    },
);

When(
    "task {word} of {word} ends as {word}, and the owner dies once that is stored",
    async function(this: TestWorld, task: string, job: string, endKind: string) {
        const lab = labOf(this);
        const name = `${jobOf(this, job)}.${task}`;
        lab.workerOf(name)!.finish(name, endKind as RunEndKind);
        // Long enough for the end to be listed and stored, too short for a lost answer to be resolved.
        await lab.advance(150);
        assert.notEqual(lab.store.get(storeKeys.progress(jobOf(this, job))), undefined);
        lab.kill();
    },
);

When(
    "the worker of task {word} of {word} is disconnected",
    function(this: TestWorld, task: string, job: string) {
        const worker = labOf(this).workerOf(`${jobOf(this, job)}.${task}`)!;
        worker.isCut = true;
        this.notes.set("disconnected", worker.id);
    },
);

When("the disconnected worker is reachable again", async function(this: TestWorld) {
    labOf(this).workers.get(this.note<WorkerId>("disconnected"))!.isCut = false;
    await labOf(this).advance(500);
});

When(
    "the next orders to {word} hit the faults {string}",
    function(this: TestWorld, id: string, faults: string) {
        labOf(this).workers.get(id as WorkerId)!.orderFaults.push(...faults.split(" ") as OrderFault[]);
    },
);

When("the late orders to {word} are carried out", async function(this: TestWorld, id: string) {
    labOf(this).workers.get(id as WorkerId)!.releaseLate();
    await labOf(this).advance(500);
});

When("the next store writes hit the faults {string}", function(this: TestWorld, faults: string) {
    labOf(this).store.writeFaults.push(...faults.split(" ") as WriteFault[]);
});

When("the late store writes are carried out", function(this: TestWorld) {
    labOf(this).store.releaseLate();
});

When("the store goes down", function(this: TestWorld) {
    labOf(this).store.isDown = true;
});

When("the store is up again", async function(this: TestWorld) {
    labOf(this).store.isDown = false;
    await labOf(this).advance(500);
});

When("the store's history is compacted", async function(this: TestWorld) {
    labOf(this).store.compact();
    await labOf(this).advance(500);
});

When("the watches stop delivering changes", function(this: TestWorld) {
    labOf(this).store.isWatchSilent = true;
});

When("the watches deliver changes again", function(this: TestWorld) {
    labOf(this).store.isWatchSilent = false;
});

Then("the job {word} is {word}", function(this: TestWorld, name: string, state: string) {
    assert.equal(labOf(this).stateOf(jobOf(this, name)), state);
});

Then("{int} task(s) of {word} run(s)", function(this: TestWorld, count: number, job: string) {
    const id = jobOf(this, job);
    const running = labOf(this).running().filter(text => text.startsWith(id));
    assert.equal(running.length, count, running.join(", "));
});

Then("each task of {word} runs at most once", function(this: TestWorld, job: string) {
    const names = labOf(this).running().filter(text => text.startsWith(jobOf(this, job))).map(text =>
        text.split(" ")[0]
    );
    assert.equal(new Set(names).size, names.length);
});

Then(
    "task {word} of {word} has run number {int}",
    function(this: TestWorld, task: string, job: string, run: number) {
        const name = `${jobOf(this, job)}.${task}`;
        assert.equal(labOf(this).workerOf(name)?.running.get(name)?.run, run);
    },
);

Then(
    "task {word} of {word} was started {int} time(s)",
    function(this: TestWorld, task: string, job: string, times: number) {
        const [occurrence, step, index] = task.split(".").map(Number);
        const id = jobOf(this, job);
        const starts = [...labOf(this).workers.values()].flatMap(worker => worker.starts).filter((
            { task: name },
        ) => name.job === id && name.occurrence === occurrence && name.step === step && name.index === index);
        assert.equal(starts.length, times);
    },
);

Then("the tasks of {word} run in one rack", function(this: TestWorld, job: string) {
    const lab = labOf(this);
    const racks = [...lab.workers.values()]
        .filter(worker => [...worker.running.keys()].some(task => task.startsWith(jobOf(this, job))))
        .map(worker => worker.report.rack);
    assert.equal(new Set(racks).size, 1);
});

Then("no task runs on {word}", function(this: TestWorld, id: string) {
    assert.equal(labOf(this).workers.get(id as WorkerId)!.running.size, 0);
});

Then("the first owner has resigned", function(this: TestWorld) {
    assert.equal(labOf(this).terms[0]!.resignations.length, 1);
});

Then("the workers have discarded {int} run end(s)", function(this: TestWorld, count: number) {
    const discarded = [...labOf(this).workers.values()].reduce((sum, worker) => sum + worker.forgotten, 0);
    assert.equal(discarded, count);
});

Then("the running tasks match their snapshot", function(this: TestWorld) {
    this.expectSnapshot(labOf(this).running());
});

When("the disconnected worker is not listed", function(this: TestWorld) {
    labOf(this).unlisted.add(this.note<WorkerId>("disconnected"));
});

When(
    "{word} submits the scheduled job {word} of {string}, {int} times every {int} seconds from {int} second on",
    async function(
        this: TestWorld,
        customer: string,
        name: string,
        steps: string,
        times: number,
        everyS: number,
        fromS: number,
    ) {
        const lab = labOf(this);
        const firstRunMs = lab.clock.now + fromS * MS_PER_SECOND;
        const schedule = { times, firstRunMs, intervalMs: everyS * MS_PER_SECOND };
        this.notes.set(
            `job ${name}`,
            lab.submit("normal", customer, steps.split(";").map(parseStep), schedule),
        );
        await lab.advance(100);
    },
);
