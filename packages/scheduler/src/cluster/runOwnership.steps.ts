import { HeartbeatSchema, OwnerRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import { keepRunning } from "../_lib/keepRunning.js";
import type { Ownership } from "../engine/Scheduler.js";
import type { FleetStore } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { Cluster } from "./Cluster.js";
import { receiveHeartbeat } from "./Cluster.js";
import { runOwnership } from "./runOwnership.js";

const EVENT_LOOP_TURNS = 50;

Given("the store holds an owner's record", function(this: TestWorld) {
    const record = create(OwnerRecordSchema, { node: "there", peerAddress: "10.0.0.2:1", lease: "1" });
    this.note<FakeFleetStore>("store").put(storeKeys.owner, toBinary(OwnerRecordSchema, record));
});

When("the daemon watches the ownership", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const store = this.note<FakeFleetStore>("store").createClient();
    void runOwnership({ cluster: this.note("cluster"), store, schedule: async () => {} }, end.signal);
    await waitTurns(EVENT_LOOP_TURNS);
});

Then("the term's record has the revision of the owner's record", async function(this: TestWorld) {
    const store = this.note<FakeFleetStore>("store");
    while (store.get(storeKeys.owner) === undefined) {
        await waitTurns(EVENT_LOOP_TURNS);
    }
    assert.equal(store.get(storeKeys.term)?.revision, store.get(storeKeys.owner)?.revision);
});

Given("the daemon is the owner", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const store = this.note<FakeFleetStore>("store").createClient();
    const ownership = await new Promise<Ownership>(resolve => {
        const schedule = async (current: Ownership): Promise<void> => {
            resolve(current);
            if (!current.signal.aborted) {
                await once(current.signal, "abort");
            }
        };
        void runOwnership({ cluster: this.note("cluster"), store, schedule }, end.signal);
    });
    this.notes.set("ownership", ownership);
});

Given(
    "the daemon keeps trying to be the owner, and its first term fails unexpectedly",
    async function(this: TestWorld) {
        const end = new AbortController();
        this.cleanups.push(() => end.abort());
        const cluster = this.note<Cluster>("cluster");
        const store = this.note<FakeFleetStore>("store").createClient();
        const terms: Ownership[] = [];
        this.notes.set("terms", terms);
        await new Promise<void>(resolve => {
            const schedule = async (ownership: Ownership): Promise<void> => {
                terms.push(ownership);
                if (terms.length === 1) {
                    throw new Error("The scheduler fails.");
                }
                resolve();
                await once(ownership.signal, "abort");
            };
            const task = (): Promise<void> => runOwnership({ cluster, store, schedule }, end.signal);
            void keepRunning("ownership", task, end.signal, { log: cluster.log, pause: async () => {} });
        });
        this.notes.set("ownership", terms[0]);
    },
);

Then("the daemon has become the owner twice", function(this: TestWorld) {
    assert.equal(this.note<readonly Ownership[]>("terms").length, 2);
});

When(
    "a peer's heartbeat names an owner that is newer by {int}",
    function(this: TestWorld, revisions: number) {
        const ownerRevision = this.note<Ownership>("ownership").revision + revisions;
        const owner = { node: "there", address: "10.0.0.2:1" };
        receiveHeartbeat(this.note("cluster"), create(HeartbeatSchema, { owner, ownerRevision }));
    },
);

When(
    "the daemon claims the ownership, and stops before the claim is answered",
    async function(this: TestWorld) {
        const end = new AbortController();
        const client = this.note<FakeFleetStore>("store").createClient();
        const store: FleetStore = {
            ...client,
            commit: transaction => {
                end.abort();
                return client.commit(transaction);
            },
        };
        const claimed = once(end.signal, "abort");
        void runOwnership({ cluster: this.note("cluster"), store, schedule: async () => {} }, end.signal);
        await claimed;
        await waitTurns(EVENT_LOOP_TURNS);
    },
);

Then("the store holds no owner's record", function(this: TestWorld) {
    assert.equal(this.note<FakeFleetStore>("store").get(storeKeys.owner), undefined);
});

Then("the owner's term has ended", function(this: TestWorld) {
    assert.ok(this.note<Ownership>("ownership").signal.aborted);
});

Then("the owner's term goes on", function(this: TestWorld) {
    assert.ok(!this.note<Ownership>("ownership").signal.aborted);
});

Then("the owner is known", function(this: TestWorld) {
    assert.equal(this.note<Cluster>("cluster").owner?.node, "there");
});
