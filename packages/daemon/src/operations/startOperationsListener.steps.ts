import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { request } from "undici";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import type { OperationsListener } from "./startOperationsListener.js";
import { startOperationsListener } from "./startOperationsListener.js";

/** Turns of the event loop that the metrics take, more than the close of a listener without requests. */
const METRICS_TURNS = 100;

Given("an operations listener whose metrics take a while", async function(this: TestWorld) {
    const metrics = async (): Promise<string> => {
        this.notes.set("isFetched", true);
        await waitTurns(METRICS_TURNS);
        return "up 1\n";
    };
    const state = { metrics: { registry: { contentType: "text/plain", metrics } } };
    const address = await findFreeAddress();
    this.notes.set("address", address);
    this.notes.set(
        "listener",
        await startOperationsListener(
            state as unknown as DaemonState,
            {} as CellRouter,
            address,
            { tokenSha256: "" },
        ),
    );
});

When("the metrics are fetched, and the listener closes meanwhile", async function(this: TestWorld) {
    const fetched = request(`http://${this.note<string>("address")}/metrics`).then(
        ({ statusCode }) => statusCode,
        String,
    );
    while (!this.notes.has("isFetched")) {
        await waitTurns(1);
    }
    await this.note<OperationsListener>("listener").close();
    this.notes.set("status", await fetched);
});

Then("the fetch is answered with the status {int}", function(this: TestWorld, status: number) {
    assert.equal(this.note("status"), status);
});
