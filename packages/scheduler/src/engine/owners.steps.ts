import { When } from "@cucumber/cucumber";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { WorkerId } from "../index.js";

const MS_PER_SECOND = 1_000;

When("the owner is suspended, and its clock {word}", function(this: TestWorld, behaviour: string) {
    getHarness(this).terms.at(-1)!.clock.suspend(behaviour === "stops");
});

When("the {word} owner wakes, and resigns after {float} second(s)", async function(
    this: TestWorld,
    ordinal: string,
    seconds: number,
) {
    const { clock, scheduler } = getHarness(this).terms[["first", "second"].indexOf(ordinal)]!;
    clock.resume();
    await getHarness(this).advance(seconds * MS_PER_SECOND);
    scheduler.ownership.resign("The store lease could not be renewed in time.");
});

When("the wall clock of the owner's machine jumps by {int} second(s)", function(
    this: TestWorld,
    seconds: number,
) {
    getHarness(this).wallClockErrorMs += seconds * MS_PER_SECOND;
});

When("the cluster's wall clock jumps by {int} second(s)", function(this: TestWorld, seconds: number) {
    getHarness(this).medianWallClockErrorMs += seconds * MS_PER_SECOND;
});

When("the owner dies", function(this: TestWorld) {
    getHarness(this).killOwner();
});

When("a new owner takes over", async function(this: TestWorld) {
    await getHarness(this).beginTerm();
    await getHarness(this).advance(500);
});

When("a new owner takes over that cannot reach {word}", async function(this: TestWorld, id: string) {
    await getHarness(this).beginTerm([id as WorkerId]);
    await getHarness(this).advance(500);
});

When(
    "a new owner takes over that cannot reach the worker of task {word} of {word}",
    async function(this: TestWorld, task: string, job: string) {
        const worker = getHarness(this).workerOf(`${getJobId(this, job)}.${task}`)!;
        await getHarness(this).beginTerm([worker.id]);
    },
);

When(
    "a new owner takes over that reaches only the worker of task {word} of {word}",
    async function(this: TestWorld, task: string, job: string) {
        const harness = getHarness(this);
        const worker = harness.workerOf(`${getJobId(this, job)}.${task}`)!;
        await harness.beginTerm([...harness.workers.keys()].filter(id => id !== worker.id));
    },
);

When(
    "the owner cannot reach the worker of task {word} of {word}",
    function(this: TestWorld, task: string, job: string) {
        const worker = getHarness(this).workerOf(`${getJobId(this, job)}.${task}`)!;
        getHarness(this).terms.at(-1)!.unreachableWorkers.add(worker.id);
        this.notes.set("disconnected", worker.id);
    },
);

When("the owner cannot reach {word}", function(this: TestWorld, id: string) {
    getHarness(this).terms.at(-1)!.unreachableWorkers.add(id as WorkerId);
});

When("the owner cannot reach any worker", function(this: TestWorld) {
    const { terms, workers } = getHarness(this);
    workers.forEach(({ id }) => terms.at(-1)!.unreachableWorkers.add(id));
});

When("the workers forget their fences, as after a restart", function(this: TestWorld) {
    getHarness(this).workers.forEach(worker => worker.fence = 0);
});

When(/^the (?:new )?owner reaches all workers$/, async function(this: TestWorld) {
    getHarness(this).terms.at(-1)!.unreachableWorkers.clear();
    await getHarness(this).advance(500);
});
