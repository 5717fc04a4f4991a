import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness } from "../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { createOwnerService } from "./createOwnerService.js";

function countQueueDepths(world: TestWorld) {
    const isStoreDown = getHarness(world).store.isDown;
    const service = createOwnerService(getHarness(world).terms.at(-1)!.scheduler, {
        couldMissJobs: () => !isStoreDown,
    });
    return service.countQueueDepths();
}

When("the store goes down for all daemons", function(this: TestWorld) {
    getHarness(this).store.isDown = true;
});

Then(
    "the owner counts {int} pending {word} job(s)",
    function(this: TestWorld, count: number, queue: string) {
        const depths = countQueueDepths(this);
        assert.deepEqual(depths?.map(({ queue, jobs }) => ({ queue, jobs })), [{ queue, jobs: count }]);
    },
);

Then("the owner does not know the number of pending jobs", function(this: TestWorld) {
    assert.equal(countQueueDepths(this), undefined);
});

Then("the owner counts no pending jobs", function(this: TestWorld) {
    assert.deepEqual(countQueueDepths(this), []);
});
