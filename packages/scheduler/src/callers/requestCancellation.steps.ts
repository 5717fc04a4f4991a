import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { JobId } from "../ids.js";
import { storeKeys } from "../storeKeys.js";
import { awaitReply, createCallContext, getBounds, JOB_ID } from "./callerFixture.steps.js";
import { requestCancellation } from "./requestCancellation.js";

const JOB_ID_DIGITS = 16;

function cancelJob(world: TestWorld, id: JobId, customer: string): Promise<void> {
    return awaitReply(world, requestCancellation(createCallContext(world), id, customer, getBounds(world)));
}

When("{word} cancels the job", async function(this: TestWorld, customer: string) {
    await cancelJob(this, JOB_ID, customer);
});

When(
    /^(\w+) cancels (\d+) jobs? that (?:is|are) not stored$/,
    async function(this: TestWorld, customer: string, count: string) {
        for (let number = 1; number <= Number(count); number++) {
            await cancelJob(this, String(number).padStart(JOB_ID_DIGITS, "0") as JobId, customer);
        }
    },
);

When("the store applies its delayed writes right after the next read", function(this: TestWorld) {
    this.notes.set("afterRead", () => this.note<FakeFleetStore>("store").applyDelayedTransactions());
});

When("the store ends all its leases", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").endAllLeases();
});

Then("the store keeps {int} withdrawal(s)", async function(this: TestWorld, count: number) {
    const listed = await this.note<FakeFleetStore>("store").createClient().list(storeKeys.withdrawalPrefix);
    assert.equal(listed._unsafeUnwrap().items.length, count);
});

Then(/^(\d+) store leases? ha(?:s|ve) been granted$/, function(this: TestWorld, count: string) {
    assert.equal(this.note<FakeFleetStore>("store").callCounts.get("grant-lease") ?? 0, Number(count));
});
