import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { FakeFleetStore } from "../../stand-ins/src/fleet/FakeFleetStore.js";
import { createWorkerLister } from "./createWorkerLister.js";
import type { ListWorkers } from "./engine/Scheduler.js";
import { createMetrics } from "./Metrics.js";
import type { WorkerReport } from "./ports/WorkerPort.js";

const PREFIX = "workers/";

/** Decodes an entry to a report with only an id, unless its key says that it is odd. */
function decodeWorkerReport(key: string): WorkerReport | undefined {
    const id = key.slice(PREFIX.length);
    if (id.startsWith("odd-error")) {
        throw new RangeError("Maximum call stack size exceeded");
    }
    return id.startsWith("odd") ? undefined : { id } as WorkerReport;
}

function createLister(world: TestWorld, ids: readonly string[]): void {
    const store = new FakeFleetStore(() => 0);
    ids.forEach(id => store.put(`${PREFIX}${id}`, new Uint8Array()));
    const warnings: string[] = [];
    const log = { warn: (_: string, { key }: { key: string }) => warnings.push(key), debug: () => {} };
    const metrics = createMetrics();
    const lister = createWorkerLister(store.createClient(), {
        workersPrefix: PREFIX,
        decodeWorkerReport,
        log: log as never,
        metrics,
    });
    Object.entries({ store, warnings, metrics, lister }).forEach(([name, value]) =>
        world.notes.set(name, value)
    );
}

Given("a store with the worker entries {string}", function(this: TestWorld, ids: string) {
    createLister(this, ids.split(" "));
});

Given("a store with {int} odd worker entries", function(this: TestWorld, count: number) {
    createLister(this, Array.from({ length: count }, (_, index) => `odd-${index}`));
});

When("the workers are listed {int} time(s)", async function(this: TestWorld, count: number) {
    for (let made = 0; made < count; made++) {
        this.notes.set("reports", await this.note<ListWorkers>("lister")());
    }
});

When("the worker entry {string} is added", function(this: TestWorld, id: string) {
    this.note<FakeFleetStore>("store").put(`${PREFIX}${id}`, new Uint8Array());
});

When("the worker entry {string} is removed", async function(this: TestWorld, id: string) {
    const client = this.note<FakeFleetStore>("store").createClient();
    const written = await client.commit({ expect: [], puts: [], removals: [`${PREFIX}${id}`] });
    assert.ok(written.isOk());
});

Then("the listed workers are {string}", function(this: TestWorld, ids: string) {
    assert.deepEqual(this.note<WorkerReport[]>("reports").map(({ id }) => id).sort(), ids.split(" ").sort());
});

Then("{int} ignored worker entries are counted", async function(this: TestWorld, count: number) {
    const text = await this.note<ReturnType<typeof createMetrics>>("metrics").registry.metrics();
    assert.match(text, new RegExp(`^balsamward_ignored_worker_entries ${count}$`, "m"));
});

Then("the warnings name {string}", function(this: TestWorld, ids: string) {
    assert.deepEqual(this.note<string[]>("warnings"), ids.split(" ").map(id => `${PREFIX}${id}`));
});

Then("{int} warnings are logged", function(this: TestWorld, count: number) {
    assert.equal(this.note<string[]>("warnings").length, count);
});
