import { MemberRecordSchema, TermRecordSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { Cluster } from "./Cluster.js";
import { runMembership } from "./runMembership.js";

const EVENT_LOOP_TURNS = 50;

/** Bytes that end in the middle of a field. */
const MALFORMED = Uint8Array.of(0x0a, 0xff, 0xff);

Given(
    "the store holds an unreadable member and the members {string}",
    function(this: TestWorld, addresses: string) {
        const store = this.note<FakeFleetStore>("store");
        store.put(storeKeys.member("odd"), MALFORMED);
        addresses.split(" ").forEach(peerAddress => {
            const record = create(MemberRecordSchema, { node: peerAddress, peerAddress });
            store.put(storeKeys.member(peerAddress), toBinary(MemberRecordSchema, record));
        });
    },
);

When("the daemon joins the cluster", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const cluster = this.note<Cluster>("cluster");
    const added: string[] = [];
    this.notes.set("added", added);
    cluster.addPeer = address => {
        added.push(address);
        return undefined;
    };
    const membership = runMembership(cluster, this.note<FakeFleetStore>("store").createClient(), end.signal);
    // An error of the membership fails the scenario.
    await Promise.race([membership, waitTurns(EVENT_LOOP_TURNS)]);
});

Then("the daemon has added the peers {string}", function(this: TestWorld, addresses: string) {
    const added = this.note<string[]>("added").filter(address => address !== "10.0.0.1:1");
    assert.deepEqual(added.sort(), addresses.split(" "));
});

Given("the store holds an unreadable owner's record", function(this: TestWorld) {
    this.note<FakeFleetStore>("store").put(storeKeys.owner, MALFORMED);
});

When("the owner's record is removed", async function(this: TestWorld) {
    const client = this.note<FakeFleetStore>("store").createClient();
    const written = await client.commit({ expect: [], puts: [], removals: [storeKeys.owner] });
    assert.ok(written.isOk());
});

Given(/^the store holds a term's record (.+)$/, function(this: TestWorld, text: string) {
    const terms = /with (\d+) terms/.exec(text)?.[1];
    const value = terms === undefined
        ? MALFORMED
        : toBinary(TermRecordSchema, create(TermRecordSchema, { term: Number(terms) }));
    this.note<FakeFleetStore>("store").put(storeKeys.term, value);
});

Then(
    "the stored number of terms is from {int} to {int}",
    function(this: TestWorld, least: number, most: number) {
        const { value } = this.note<FakeFleetStore>("store").get(storeKeys.term)!;
        const { term } = fromBinary(TermRecordSchema, value);
        assert.ok(term >= least && term <= most, `${term}`);
    },
);

Then("{int} ignored {word} is counted", async function(this: TestWorld, count: number, record: string) {
    const { values } = await this.note<Cluster>("cluster").metrics.ignoredRecords.get();
    assert.deepEqual(values.map(({ labels, value }) => [labels.record, value]), [[record, count]]);
});
