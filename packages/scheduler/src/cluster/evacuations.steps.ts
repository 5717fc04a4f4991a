import type { DataTable } from "@cucumber/cucumber";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getEvacuationKey, TEST_OPERATOR_KEYS } from "../../../../features/support/testOperatorKeys.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import { pause } from "../pause.js";
import type { Cluster } from "./Cluster.js";
import { createRelayingStore } from "./createRelayingStore.js";
import { watchConfiguration } from "./watchConfiguration.js";

const EVENT_LOOP_TURNS = 50;

/** Number and interval of the checks of a change that takes effect after a pause of real time. */
const MAX_CHECKS = 100;
const CHECK_INTERVAL_MS = 50;

function listEvacuated(world: TestWorld): string {
    return [...world.note<Cluster>("cluster").evacuations.current()].sort().join(", ");
}

Given(
    "the evacuation of {word} is requested with the value {string}",
    async function(this: TestWorld, dataCentre: string, value: string) {
        this.note<FakeFleetStore>("store").put(getEvacuationKey(dataCentre), Buffer.from(value));
        await waitTurns(EVENT_LOOP_TURNS);
    },
);

When("the request to evacuate {word} is removed", async function(this: TestWorld, dataCentre: string) {
    const removals = [getEvacuationKey(dataCentre)];
    await this.note<FakeFleetStore>("store").createClient().commit({ expect: [], puts: [], removals });
    await waitTurns(EVENT_LOOP_TURNS);
});

When("the store goes down under the watch", async function(this: TestWorld) {
    const store = this.note<FakeFleetStore>("store");
    store.isDown = true;
    // Ends the watch.
    store.compact();
    await waitTurns(EVENT_LOOP_TURNS);
});

When(
    "the store answers again, without the request to evacuate {word}",
    async function(this: TestWorld, dataCentre: string) {
        const store = this.note<FakeFleetStore>("store");
        store.isDown = false;
        const removals = [getEvacuationKey(dataCentre)];
        await store.createClient().commit({ expect: [], puts: [], removals });
    },
);

When("the watches of the store stay silent", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").isWatchSilent = true;
});

When(
    "the daemon watches the configuration through the relaying store, which cannot be reached",
    async function(this: TestWorld) {
        const end = new AbortController();
        const direct = this.note<FakeFleetStore>("direct");
        this.cleanups.push(() => {
            end.abort();
            // Lets the background probe end: it runs until the store answers.
            direct.isDown = false;
        });
        const store = createRelayingStore(direct.createClient(), this.note("cluster"));
        void watchConfiguration(this.note("cluster"), store, TEST_OPERATOR_KEYS, end.signal);
        await waitTurns(EVENT_LOOP_TURNS);
    },
);

When("the daemon learns, in this order:", function(this: TestWorld, table: DataTable) {
    const { evacuations } = this.note<Cluster>("cluster");
    for (const [answer, revisionText, dataCentre] of table.rows()) {
        const revision = Number(revisionText);
        const record = { dataCentre: dataCentre!, revision, isRequested: answer !== "removal" };
        if (answer === "list") {
            evacuations.applyList([record], revision);
        }
        else {
            evacuations.applyChange(record);
        }
    }
});

Then("the data centres {string} are evacuated", function(this: TestWorld, dataCentres: string) {
    assert.equal(listEvacuated(this), dataCentres);
});

Then("the data centres {string} become evacuated", async function(this: TestWorld, dataCentres: string) {
    for (let checks = 0; checks < MAX_CHECKS && listEvacuated(this) !== dataCentres; checks++) {
        await pause(CHECK_INTERVAL_MS);
    }
    assert.equal(listEvacuated(this), dataCentres);
});

Then("the gauges of the evacuated data centres match their snapshot", async function(this: TestWorld) {
    const { values } = await this.note<Cluster>("cluster").metrics.evacuationRevision.get();
    this.expectSnapshot(values);
});
