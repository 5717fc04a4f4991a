import type { WriteFault } from "@balsamward/stand-ins";
import { When } from "@cucumber/cucumber";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { storeKeys } from "../storeKeys.js";

When("the next store writes hit the faults {string}", function(this: TestWorld, faults: string) {
    getHarness(this).store.writeFaults.push(...faults.split(" ") as WriteFault[]);
});

When("the late store writes are carried out", function(this: TestWorld) {
    getHarness(this).store.applyDelayedTransactions();
});

When("the store refuses writes of progress", function(this: TestWorld) {
    getHarness(this).store.refusedWritePrefix = storeKeys.progressPrefix;
});

When(
    "the store refuses the progress of {word} as malformed",
    function(this: TestWorld, job: string) {
        getHarness(this).store.malformedKeys.add(storeKeys.progress(getJobId(this, job)));
    },
);

When("the store accepts writes again", function(this: TestWorld) {
    getHarness(this).store.refusedWritePrefix = undefined;
    getHarness(this).store.malformedKeys.clear();
});

When("the store goes down", function(this: TestWorld) {
    getHarness(this).store.isDown = true;
});

When("the store is up again", async function(this: TestWorld) {
    getHarness(this).store.isDown = false;
    await getHarness(this).advance(500);
});

When("the store's history is compacted", async function(this: TestWorld) {
    getHarness(this).store.compact();
    await getHarness(this).advance(500);
});

When("the watches stop delivering changes", function(this: TestWorld) {
    getHarness(this).store.isWatchSilent = true;
});

When("the watches deliver changes again", function(this: TestWorld) {
    getHarness(this).store.isWatchSilent = false;
});
