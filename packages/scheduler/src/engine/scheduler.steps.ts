import type { StepSchema } from "@balsamward/schema/scheduling";
import type { OrderFault, WriteFault } from "@balsamward/stand-ins";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import { SchedulerTestHarness } from "../../../../features/support/SchedulerTestHarness.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { EndKind, WorkerId } from "../index.js";
import { keys } from "../keys.js";

type StepInit = MessageInitShape<typeof StepSchema>;

const SECOND_MS = 1_000;

/** Reads a shape such as '4 x 8 gang one-rack checkpoints after 0'. */
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
    const lab = new SchedulerTestHarness();
    lab.addWorkers(count);
    this.notes.set("lab", lab);
    this.cleanups.push(() => lab.terms.forEach(term => term.end.abort()));
    await lab.beginTerm();
});

When(
    "{word} submits the {word} job {word} of {string}",
    async function(this: TestWorld, customer: string, queue: string, name: string, steps: string) {
        this.notes.set(
            `job ${name}`,
            getHarness(this).submit(queue, customer, steps.split(";").map(parseStep)),
        );
        await getHarness(this).advance(100);
    },
);

When("{float} second(s) pass(es)", async function(this: TestWorld, seconds: number) {
    await getHarness(this).advance(seconds * SECOND_MS);
});

When("{int} seconds pass while all runs make progress", async function(this: TestWorld, seconds: number) {
    for (let passed = 0; passed < seconds; passed++) {
        const runs = [...getHarness(this).workers.values()].flatMap(worker => [...worker.running.values()]);
        runs.forEach(run => run.percent += 1);
        await getHarness(this).advance(SECOND_MS);
    }
});

When("{word} is cancelled by its caller", async function(this: TestWorld, name: string) {
    getHarness(this).cancel(getJobId(this, name));
    await getHarness(this).advance(100);
});

When("the owner dies", function(this: TestWorld) {
    getHarness(this).killOwner();
});

When("a new owner takes over", async function(this: TestWorld) {
    await getHarness(this).beginTerm();
    await getHarness(this).advance(500);
});

When(
    "task {word} of {word} ends as {word}",
    async function(this: TestWorld, task: string, job: string, how: string) {
        const name = `${getJobId(this, job)}.${task}`;
        const worker = getHarness(this).workerOf(name);
        assert.ok(worker, `The task '${name}' does not run.`);
        worker.endRun(name, how as EndKind, how === "stopped" ? "saved" : "");
        await getHarness(this).advance(200);
    },
);

When(
    "task {word} of {word} ends as {word}, and the owner dies once that is stored",
    async function(this: TestWorld, task: string, job: string, how: string) {
        const lab = getHarness(this);
        const name = `${getJobId(this, job)}.${task}`;
        lab.workerOf(name)!.endRun(name, how as EndKind);
        // Long enough for the end to be listed and stored, too short for a lost answer to be resolved.
        await lab.advance(150);
        assert.notEqual(lab.store.get(keys.progress(getJobId(this, job))), undefined);
        lab.killOwner();
    },
);

When(
    "the worker of task {word} of {word} is cut off",
    function(this: TestWorld, task: string, job: string) {
        const worker = getHarness(this).workerOf(`${getJobId(this, job)}.${task}`)!;
        worker.isDisconnected = true;
        this.notes.set("cut", worker.id);
    },
);

When("the cut worker is reached again", async function(this: TestWorld) {
    getHarness(this).workers.get(this.note<WorkerId>("cut"))!.isDisconnected = false;
    await getHarness(this).advance(500);
});

When("the next orders at {word} meet {string}", function(this: TestWorld, id: string, faults: string) {
    getHarness(this).workers.get(id as WorkerId)!.orderFaults.push(...faults.split(" ") as OrderFault[]);
});

When("the late orders at {word} are carried out", async function(this: TestWorld, id: string) {
    getHarness(this).workers.get(id as WorkerId)!.executeDelayedOrders();
    await getHarness(this).advance(500);
});

When("the next store writes meet {string}", function(this: TestWorld, faults: string) {
    getHarness(this).store.writeFaults.push(...faults.split(" ") as WriteFault[]);
});

When("the late store writes are carried out", function(this: TestWorld) {
    getHarness(this).store.applyDelayedTransactions();
});

When("the store goes down", function(this: TestWorld) {
    getHarness(this).store.isDown = true;
});

When("the store is back", async function(this: TestWorld) {
    getHarness(this).store.isDown = false;
    await getHarness(this).advance(500);
});

When("the store's history is dropped", async function(this: TestWorld) {
    getHarness(this).store.compact();
    await getHarness(this).advance(500);
});

When("the watches fall silent", function(this: TestWorld) {
    getHarness(this).store.isWatchSilent = true;
});

When("the watches are heard again", function(this: TestWorld) {
    getHarness(this).store.isWatchSilent = false;
});

Then("the job {word} is {word}", function(this: TestWorld, name: string, state: string) {
    assert.equal(getHarness(this).stateOf(getJobId(this, name)), state);
});

Then("{int} task(s) of {word} run(s)", function(this: TestWorld, count: number, job: string) {
    const id = getJobId(this, job);
    const running = getHarness(this).listRunningTasks().filter(text => text.startsWith(id));
    assert.equal(running.length, count, running.join(", "));
});

Then("each task of {word} runs at most once", function(this: TestWorld, job: string) {
    const names = getHarness(this).listRunningTasks().filter(text => text.startsWith(getJobId(this, job)))
        .map(text => text.split(" ")[0]);
    assert.equal(new Set(names).size, names.length);
});

Then(
    "task {word} of {word} has run {int}",
    function(this: TestWorld, task: string, job: string, run: number) {
        const name = `${getJobId(this, job)}.${task}`;
        assert.equal(getHarness(this).workerOf(name)?.running.get(name)?.run, run);
    },
);

Then(
    "task {word} of {word} was started {int} time(s)",
    function(this: TestWorld, task: string, job: string, times: number) {
        const [occurrence, step, index] = task.split(".").map(Number);
        const id = getJobId(this, job);
        const starts = [...getHarness(this).workers.values()].flatMap(worker => worker.starts).filter((
            { task: name },
        ) => name.job === id && name.occurrence === occurrence && name.step === step && name.index === index);
        assert.equal(starts.length, times);
    },
);

Then("the tasks of {word} run in one rack", function(this: TestWorld, job: string) {
    const lab = getHarness(this);
    const racks = [...lab.workers.values()]
        .filter(worker => [...worker.running.keys()].some(task => task.startsWith(getJobId(this, job))))
        .map(worker => worker.report.rack);
    assert.equal(new Set(racks).size, 1);
});

Then("no task runs on {word}", function(this: TestWorld, id: string) {
    assert.equal(getHarness(this).workers.get(id as WorkerId)!.running.size, 0);
});

Then("the first owner has resigned", function(this: TestWorld) {
    assert.equal(getHarness(this).terms[0]!.resignations.length, 1);
});

Then("the workers have forgotten {int} end(s)", function(this: TestWorld, count: number) {
    const forgotten = [...getHarness(this).workers.values()].reduce(
        (sum, worker) => sum + worker.forgottenEndCount,
        0,
    );
    assert.equal(forgotten, count);
});

Then("what runs matches its snapshot", function(this: TestWorld) {
    this.expectSnapshot(getHarness(this).listRunningTasks());
});

When("the cut worker is not listed", function(this: TestWorld) {
    getHarness(this).unlistedWorkers.add(this.note<WorkerId>("cut"));
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
        const lab = getHarness(this);
        const firstRunMs = lab.clock.now + fromS * SECOND_MS;
        const schedule = { times, firstRunMs, intervalMs: everyS * SECOND_MS };
        this.notes.set(
            `job ${name}`,
            lab.submit("normal", customer, steps.split(";").map(parseStep), schedule),
        );
        await lab.advance(100);
    },
);
