import type { FakeWorker } from "@balsamward/stand-ins";
import { Given, Then, When } from "@cucumber/cucumber";
import { errAsync } from "neverthrow";
import assert from "node:assert/strict";
import { createWorkerReport } from "../../../../features/support/scheduler/createWorkerReport.js";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import { SchedulerTestHarness } from "../../../../features/support/SchedulerTestHarness.js";
import { getEvacuationKey, TEST_OPERATOR_KEYS } from "../../../../features/support/testOperatorKeys.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";

const MS_PER_SECOND = 1_000;

function listWorkersIn(world: TestWorld, dataCentre: string): readonly FakeWorker[] {
    return [...getHarness(world).workers.values()].filter(({ report }) => report.dataCentre === dataCentre);
}

function countStartsIn(world: TestWorld, dataCentre: string): number {
    return listWorkersIn(world, dataCentre).flatMap(({ starts }) => starts).length;
}

/** Tells the owner of a request that was written or removed, as its watch does. */
async function deliver(world: TestWorld, dataCentre: string, revision: number, isRequested: boolean) {
    const harness = getHarness(world);
    harness.terms.at(-1)!.evacuations.applyChange({ dataCentre, revision, isRequested });
    await harness.advance(100);
}

Given(
    "a fleet of {int} workers in each of the data centres {string} with an owner",
    async function(this: TestWorld, count: number, names: string) {
        const harness = new SchedulerTestHarness();
        this.notes.set("harness", harness);
        this.cleanups.push(() => harness.terms.forEach(term => term.end.abort()));
        for (const dataCentre of names.split(", ")) {
            for (let added = 0; added < count; added++) {
                harness.addWorker({ ...createWorkerReport(harness.workers.size), dataCentre });
            }
        }
        await harness.beginTerm();
    },
);

async function evacuate(world: TestWorld, dataCentre: string): Promise<void> {
    const revision = getHarness(world).store.put(getEvacuationKey(dataCentre), Buffer.from("{}"));
    await deliver(world, dataCentre, revision, true);
}

async function endEvacuation(world: TestWorld, dataCentre: string): Promise<void> {
    const { store } = getHarness(world);
    const transaction = { expect: [], puts: [], removals: [getEvacuationKey(dataCentre)] };
    const revision = await store.createClient().commit(transaction);
    await deliver(world, dataCentre, revision._unsafeUnwrap(), false);
}

When("the operator evacuates {word}", async function(this: TestWorld, dataCentre: string) {
    await evacuate(this, dataCentre);
});

When("the evacuation of {word} ends", async function(this: TestWorld, dataCentre: string) {
    await endEvacuation(this, dataCentre);
});

When(
    "the operator evacuates the data centre without task {word} of {word}",
    async function(this: TestWorld, task: string, job: string) {
        const harness = getHarness(this);
        const used = harness.workerOf(`${getJobId(this, job)}.${task}`)!.report.dataCentre;
        const other = [...harness.workers.values()].find(({ report }) => report.dataCentre !== used)!;
        this.notes.set("evacuated", other.report.dataCentre);
        await evacuate(this, other.report.dataCentre);
    },
);

When("the evacuation of that data centre ends", async function(this: TestWorld) {
    await endEvacuation(this, this.note("evacuated"));
});

When(
    "the operator evacuates {word}, and the owner dies before it learns of that",
    function(this: TestWorld, dataCentre: string) {
        getHarness(this).store.put(getEvacuationKey(dataCentre), Buffer.from("{}"));
        getHarness(this).killOwner();
    },
);

When(
    "the next order to each worker in {word} is not answered",
    function(this: TestWorld, dataCentre: string) {
        listWorkersIn(this, dataCentre).forEach(({ orderFaults }) => orderFaults.push("unanswered"));
    },
);

When("a new owner takes over that cannot read the evacuations", async function(this: TestWorld) {
    const { store } = getHarness(this);
    const createClient = store.createClient.bind(store);
    this.notes.set("isUnreadable", true);
    store.createClient = () => {
        const client = createClient();
        return {
            ...client,
            list: (prefix, options) =>
                prefix === TEST_OPERATOR_KEYS.prefix && this.note<boolean>("isUnreadable")
                    ? errAsync({ kind: "unavailable", message: "The list is refused. Try again later." })
                    : client.list(prefix, options),
        };
    };
    await getHarness(this).beginTerm();
});

When("the evacuations can be read again", function(this: TestWorld) {
    this.notes.set("isUnreadable", false);
});

Then("nothing has been started in {word}", function(this: TestWorld, dataCentre: string) {
    assert.equal(countStartsIn(this, dataCentre), 0);
});

Then(
    "nothing else is started in {word} for {float} second(s)",
    async function(this: TestWorld, dataCentre: string, seconds: number) {
        const count = countStartsIn(this, dataCentre);
        await getHarness(this).advance(seconds * MS_PER_SECOND);
        assert.equal(countStartsIn(this, dataCentre), count);
    },
);

Then("{int} tasks run in {word}", function(this: TestWorld, count: number, dataCentre: string) {
    const tasks = listWorkersIn(this, dataCentre).flatMap(({ running }) => [...running]);
    assert.equal(tasks.length, count);
});

Then("the owner counts {int} workers that get no work", async function(this: TestWorld, count: number) {
    const { values } = await getHarness(this).terms.at(-1)!.scheduler.metrics.evacuatedWorkers.get();
    assert.deepEqual(values.map(({ value }) => value), [count]);
});
