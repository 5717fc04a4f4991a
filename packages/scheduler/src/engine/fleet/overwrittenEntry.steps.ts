import { When } from "@cucumber/cucumber";
import { getHarness } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { WORKER_LIST_INTERVAL_MS } from "../../constants.js";
import type { WorkerId } from "../../index.js";

When(
    "the entry of {word} is overwritten by one at {word}",
    async function(this: TestWorld, id: string, address: string) {
        const harness = getHarness(this);
        const { report } = harness.workers.get(id as WorkerId)!;
        harness.unlistedWorkers.add(report.id);
        harness.departedReports.push({ ...report, address });
        await harness.advance(2 * WORKER_LIST_INTERVAL_MS);
    },
);

When("the entry of {word} is restored", async function(this: TestWorld, id: string) {
    const harness = getHarness(this);
    harness.unlistedWorkers.delete(id as WorkerId);
    harness.departedReports.splice(0);
    await harness.advance(2 * WORKER_LIST_INTERVAL_MS);
});

When("an entry {word} is written at {word}", async function(this: TestWorld, id: string, address: string) {
    const harness = getHarness(this);
    const { report } = [...harness.workers.values()].find(worker => worker.report.address === address)!;
    harness.departedReports.push({ ...report, id: id as WorkerId });
    await harness.advance(2 * WORKER_LIST_INTERVAL_MS);
});
