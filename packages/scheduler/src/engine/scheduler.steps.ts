import type { StepSchema } from "@balsamward/schema/scheduling";
import type { OrderFault } from "@balsamward/stand-ins";
import { formatTaskName } from "@balsamward/stand-ins";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import { SchedulerTestHarness } from "../../../../features/support/SchedulerTestHarness.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FleetConfiguration, RunEndKind, WorkerId } from "../index.js";
import { storeKeys } from "../storeKeys.js";

type StepInit = MessageInitShape<typeof StepSchema>;

const MS_PER_SECOND = 1_000;
const SLOW_CLOCK_RATE = 0.98;

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
    const harness = new SchedulerTestHarness();
    harness.addWorkers(count);
    this.notes.set("harness", harness);
    this.cleanups.push(() => harness.terms.forEach(term => term.end.abort()));
    await harness.beginTerm();
});

Given(
    "a fleet of {int} workers with slow clocks and an owner",
    async function(this: TestWorld, count: number) {
        const harness = new SchedulerTestHarness();
        harness.workerClockRate = SLOW_CLOCK_RATE;
        harness.addWorkers(count);
        this.notes.set("harness", harness);
        this.cleanups.push(() => harness.terms.forEach(term => term.end.abort()));
        await harness.beginTerm();
    },
);

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

When(
    "{word} submits the {word} job {word} of {string} through a daemon that stores no term",
    async function(this: TestWorld, customer: string, queue: string, name: string, steps: string) {
        const options = { withoutTerm: true };
        this.notes.set(
            `job ${name}`,
            getHarness(this).submit(queue, customer, steps.split(";").map(parseStep), options),
        );
        await getHarness(this).advance(100);
    },
);

When(
    "{word} submits the {word} job {word} of {string} through a daemon with the next configuration",
    async function(this: TestWorld, customer: string, queue: string, name: string, steps: string) {
        const harness = getHarness(this);
        const ownersConfiguration = harness.configuration;
        harness.configuration = this.note<FleetConfiguration>("next configuration");
        const id = harness.submit(queue, customer, steps.split(";").map(parseStep));
        harness.configuration = ownersConfiguration;
        this.notes.set(`job ${name}`, id);
        await harness.advance(100);
    },
);

When("{word} is announced to the first owner", async function(this: TestWorld, job: string) {
    getHarness(this).announce(getJobId(this, job), getHarness(this).terms[0]!);
    await getHarness(this).advance(100);
});

When("{float} second(s) pass(es)", async function(this: TestWorld, seconds: number) {
    await getHarness(this).advance(seconds * MS_PER_SECOND);
});

When("{int} seconds pass while all runs make progress", async function(this: TestWorld, seconds: number) {
    for (let passed = 0; passed < seconds; passed++) {
        const runs = [...getHarness(this).workers.values()].flatMap(worker => [...worker.running.values()]);
        runs.forEach(run => run.percent += 1);
        await getHarness(this).advance(MS_PER_SECOND);
    }
});

When("{word} is cancelled by its caller", async function(this: TestWorld, name: string) {
    getHarness(this).cancel(getJobId(this, name));
    await getHarness(this).advance(100);
});

When(
    "task {word} of {word} ends as {word}",
    async function(this: TestWorld, task: string, job: string, endKind: string) {
        const name = `${getJobId(this, job)}.${task}`;
        const worker = getHarness(this).workerOf(name);
        assert.ok(worker, `The task '${name}' does not run.`);
        worker.endRun(name, endKind as RunEndKind, endKind === "stopped" ? "saved" : "");
        await getHarness(this).advance(200);
    },
);

When(
    /^the tasks (.+) of (\w+) end as (.+)$/,
    async function(this: TestWorld, tasks: string, job: string, ends: string) {
        const names = tasks.split(", ").map(task => `${getJobId(this, job)}.${task}`);
        const endKinds = ends.split(", ") as RunEndKind[];
        names.forEach((name, index) => getHarness(this).workerOf(name)!.endRun(name, endKinds[index]!));
        await getHarness(this).advance(100);
    },
);

When(
    "task {word} of {word} ends as {word}, and the owner dies once that is stored",
    async function(this: TestWorld, task: string, job: string, endKind: string) {
        const harness = getHarness(this);
        const name = `${getJobId(this, job)}.${task}`;
        harness.workerOf(name)!.endRun(name, endKind as RunEndKind);
        // Long enough for the end to be listed and stored, too short for a lost answer to be resolved.
        await harness.advance(150);
        assert.notEqual(harness.store.get(storeKeys.progress(getJobId(this, job))), undefined);
        harness.killOwner();
    },
);

When(
    "the worker of task {word} of {word} is disconnected",
    function(this: TestWorld, task: string, job: string) {
        const worker = getHarness(this).workerOf(`${getJobId(this, job)}.${task}`)!;
        worker.isDisconnected = true;
        this.notes.set("disconnected", worker.id);
    },
);

When("the disconnected worker is reachable again", async function(this: TestWorld) {
    getHarness(this).workers.get(this.note<WorkerId>("disconnected"))!.isDisconnected = false;
    await getHarness(this).advance(500);
});

When(
    "the next orders to {word} hit the faults {string}",
    function(this: TestWorld, id: string, faults: string) {
        getHarness(this).workers.get(id as WorkerId)!.orderFaults.push(...faults.split(" ") as OrderFault[]);
    },
);

When("the late orders to {word} are carried out", async function(this: TestWorld, id: string) {
    getHarness(this).workers.get(id as WorkerId)!.executeDelayedOrders();
    await getHarness(this).advance(500);
});

Then("the job {word} is {word}", function(this: TestWorld, name: string, state: string) {
    assert.equal(getHarness(this).stateOf(getJobId(this, name)), state);
});

Given(
    "the estimate of run times in the queue {word} fails unexpectedly",
    function(this: TestWorld, name: string) {
        const { runTimePredictor } = getHarness(this).terms.at(-1)!.scheduler;
        const { forecast } = runTimePredictor;
        const forecastOrFail: typeof forecast = step => {
            assert.notEqual(step.job.queue, name, "The run time cannot be estimated.");
            return forecast(step);
        };
        Object.assign(runTimePredictor, { forecast: forecastOrFail });
    },
);

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

Then("no task has had two runs at the same time", function(this: TestWorld) {
    assert.deepEqual([...getHarness(this).overlappingTasks], []);
});

Then(
    "task {word} of {word} has run number {int}",
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

Then("each task of {word} was started {int} time(s)", function(this: TestWorld, job: string, times: number) {
    const starts = [...getHarness(this).workers.values()].flatMap(worker => worker.starts)
        .filter(({ task }) => task.job === getJobId(this, job))
        .map(({ task }) => formatTaskName(task));
    const repeated = starts.filter(name => starts.filter(other => other === name).length !== times);
    assert.deepEqual(repeated, []);
});

Then("{int} runs of {word} were started", function(this: TestWorld, count: number, job: string) {
    const starts = [...getHarness(this).workers.values()].flatMap(worker => worker.starts)
        .filter(({ task }) => task.job === getJobId(this, job));
    assert.equal(starts.length, count);
});

Then("the tasks of {word} run in one rack", function(this: TestWorld, job: string) {
    const harness = getHarness(this);
    const racks = [...harness.workers.values()]
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

Then("the workers have discarded {int} run end(s)", function(this: TestWorld, count: number) {
    const discarded = [...getHarness(this).workers.values()].reduce(
        (sum, worker) => sum + worker.forgottenEndCount,
        0,
    );
    assert.equal(discarded, count);
});

Then("the running tasks match their snapshot", function(this: TestWorld) {
    this.expectSnapshot(getHarness(this).listRunningTasks());
});

When("the disconnected worker is not listed", function(this: TestWorld) {
    getHarness(this).unlistedWorkers.add(this.note<WorkerId>("disconnected"));
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
        const harness = getHarness(this);
        const firstRunMs = harness.clock.now + fromS * MS_PER_SECOND;
        const schedule = { times, firstRunMs, intervalMs: everyS * MS_PER_SECOND };
        this.notes.set(
            `job ${name}`,
            harness.submit("normal", customer, steps.split(";").map(parseStep), { schedule }),
        );
        await harness.advance(100);
    },
);
