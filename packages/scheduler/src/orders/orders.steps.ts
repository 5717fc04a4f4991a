import type { FakeWorker } from "@balsamward/stand-ins";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { WorkerId } from "../ids.js";
import type { OrderTiming } from "./adaptWindow.js";
import { adaptWindow } from "./adaptWindow.js";

function adaptRepeatedly(size: number, times: number, timing: OrderTiming): number {
    return Array.from({ length: times }).reduce<number>(current => adaptWindow(current, timing), size);
}

function listWorkersOfJob(world: TestWorld, job: string): readonly FakeWorker[] {
    const id = getJobId(world, job);
    return [...getHarness(world).workers.values()].filter(worker =>
        worker.starts.some(({ task }) => task.job === id)
    );
}

Then("the windows after series of answers match their snapshot", function(this: TestWorld) {
    const inTime = { isAnswered: true, elapsedMs: 5 };
    const late = { isAnswered: true, elapsedMs: 300 };
    const unanswered = { isAnswered: false, elapsedMs: 400 };
    this.expectSnapshot({
        "8, after 8 answers in time": adaptRepeatedly(8, 8, inTime),
        "8, after 1000 answers in time": adaptRepeatedly(8, 1_000, inTime),
        "64, after 5 late answers": Math.round(adaptRepeatedly(64, 5, late)),
        "64, after 1000 late answers": adaptRepeatedly(64, 1_000, late),
        "64, after 1000 orders without an answer": adaptRepeatedly(64, 1_000, unanswered),
        "2, after 1000 orders without an answer": adaptRepeatedly(2, 1_000, unanswered),
    });
});

Given("an order takes {int} ms of the owner's processor", function(this: TestWorld, orderMs: number) {
    getHarness(this).processor.orderMs = orderMs;
});

When("the workers of {word} are no longer reached by the owner", function(this: TestWorld, job: string) {
    const { unreachableWorkers } = getHarness(this).terms.at(-1)!;
    listWorkersOfJob(this, job).forEach(worker => unreachableWorkers.add(worker.id));
});

When(
    "the next {int} stops of {word} are not answered",
    function(this: TestWorld, count: number, job: string) {
        const faults = Array.from({ length: count }, () => "unanswered" as const);
        listWorkersOfJob(this, job).forEach(worker => worker.orderFaults.push(...faults));
    },
);

When(
    "the next {int} orders to {word} are not answered",
    function(this: TestWorld, count: number, id: string) {
        const faults = Array.from({ length: count }, () => "unanswered" as const);
        getHarness(this).workers.get(id as WorkerId)!.orderFaults.push(...faults);
    },
);

Then("no run has been stopped", async function(this: TestWorld) {
    const { values } = await getHarness(this).terms.at(-1)!.scheduler.metrics.stops.get();
    assert.deepEqual(values, []);
});

Then("fewer than {int} runs of {word} were started", function(this: TestWorld, limit: number, job: string) {
    const starts = [...getHarness(this).workers.values()].flatMap(worker => worker.starts)
        .filter(({ task }) => task.job === getJobId(this, job));
    assert.ok(starts.length < limit, `${starts.length} runs were started.`);
});

Then("at least {int} tasks of {word} run", function(this: TestWorld, count: number, job: string) {
    const id = getJobId(this, job);
    const running = getHarness(this).listRunningTasks().filter(text => text.startsWith(id));
    assert.ok(running.length >= count, `${running.length} tasks run.`);
});
