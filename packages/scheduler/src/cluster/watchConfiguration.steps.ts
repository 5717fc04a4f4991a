import { HeartbeatSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import { err, ok, ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import type { FakeClock } from "../../../../features/support/FakeClock.js";
import { TEST_OPERATOR_KEYS } from "../../../../features/support/testOperatorKeys.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import { pause } from "../pause.js";
import type { FleetStore, StoreEvent } from "../ports/FleetStore.js";
import { answerHeartbeat } from "./answerHeartbeat.js";
import type { Cluster } from "./Cluster.js";
import { updateOwner } from "./Cluster.js";
import { createRelayingStore } from "./createRelayingStore.js";
import { watchConfiguration } from "./watchConfiguration.js";

const CONFIGURATION_KEY = TEST_OPERATOR_KEYS.configuration;
const EVENT_LOOP_TURNS = 50;

/** Number and interval of the checks of a change that takes effect after a pause of real time. */
const MAX_CHECKS = 100;
const CHECK_INTERVAL_MS = 50;

const LOST = err({ kind: "unclear" as const, message: "The answer is lost. Read the value back." });

Given("the store holds configuration {word}", function(this: TestWorld, version: string) {
    this.note<FakeFleetStore>("store").put(CONFIGURATION_KEY, Buffer.from(version));
});

When("the daemon watches the configuration", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const store = this.note<FakeFleetStore>("store");
    void watchConfiguration(this.note("cluster"), store.createClient(), TEST_OPERATOR_KEYS, end.signal);
    await waitTurns(EVENT_LOOP_TURNS);
});

Given("the daemon knows itself as the owner", function(this: TestWorld) {
    const cluster = this.note<Cluster>("cluster");
    updateOwner(cluster, { node: cluster.node, address: cluster.address, revision: 1 });
});

When(
    "the daemon watches the configuration, and the watches leave out changes",
    async function(this: TestWorld) {
        const end = new AbortController();
        this.cleanups.push(() => end.abort());
        const clock = this.note<FakeClock>("clock");
        const store: FleetStore = {
            ...this.note<FakeFleetStore>("store").createClient(),
            watch: (_prefix, after, waitMs) =>
                new ResultAsync(clock.pause(waitMs).then(() => ok({ events: [], revision: after + 1 }))),
        };
        void watchConfiguration(this.note("cluster"), store, TEST_OPERATOR_KEYS, end.signal);
        await waitTurns(EVENT_LOOP_TURNS);
    },
);

When(
    "the daemon watches the configuration, which changes {int} ms into a watch, and answers take {int} ms",
    async function(this: TestWorld, changeMs: number, answerMs: number) {
        const end = new AbortController();
        this.cleanups.push(() => end.abort());
        const clock = this.note<FakeClock>("clock");
        const answer = (afterMs: number, revision: number, events: readonly StoreEvent[]) =>
            new ResultAsync(clock.pause(afterMs + answerMs).then(() => ok({ events, revision })));
        let isChanged = false;
        const watch: FleetStore["watch"] = (_prefix, after, waitMs) => {
            if (isChanged) {
                return answer(waitMs, after, []);
            }
            isChanged = true;
            const event = { key: CONFIGURATION_KEY, revision: after + 1, value: Buffer.from("5") };
            return answer(changeMs, after + 1, [event]);
        };
        const store = { ...this.note<FakeFleetStore>("store").createClient(), watch };
        void watchConfiguration(this.note("cluster"), store, TEST_OPERATOR_KEYS, end.signal);
        await waitTurns(EVENT_LOOP_TURNS);
    },
);

Then(
    "the configuration is at most {int} ms old for {int} ms",
    async function(this: TestWorld, ageMs: number, durationMs: number) {
        const { configuration } = this.note<Cluster>("cluster");
        let maxAgeMs = 0;
        await this.note<FakeClock>("clock").advance(durationMs, () => {
            maxAgeMs = Math.max(maxAgeMs, configuration.getAgeMs());
        });
        assert.ok(maxAgeMs <= ageMs, `The configuration was ${maxAgeMs} ms old.`);
    },
);

When("a peer offers configuration {word}", function(this: TestWorld, version: string) {
    this.note<Cluster>("cluster").configuration.activateIfNewer(Buffer.from(version), "peer");
});

When("configuration {word} is written to the store", async function(this: TestWorld, version: string) {
    this.note<FakeFleetStore>("store").put(CONFIGURATION_KEY, Buffer.from(version));
    await waitTurns(EVENT_LOOP_TURNS);
});

Then("configuration {int} is in force", function(this: TestWorld, version: number) {
    assert.equal(this.note<Cluster>("cluster").configuration.current()?.version, version);
});

Then("the age of the configuration is {int} ms", function(this: TestWorld, ageMs: number) {
    assert.equal(this.note<Cluster>("cluster").configuration.getAgeMs(), ageMs);
});

Given("a peer that reaches the store and answers no calls", function(this: TestWorld) {
    const calls = { relayStoreCall: () => new Promise(() => {}) };
    this.note<Cluster>("cluster").peers.set("peer", createTestPeer("peer", calls));
});

When("the daemon watches the configuration through the relaying store", async function(this: TestWorld) {
    const end = new AbortController();
    this.cleanups.push(() => end.abort());
    const client = this.note<FakeFleetStore>("store").createClient();
    const direct: FleetStore = {
        ...client,
        watch: () =>
            new ResultAsync(new Promise(resolve => this.notes.set("loseWatch", () => resolve(LOST)))),
    };
    const store = createRelayingStore(direct, this.note("cluster"));
    void watchConfiguration(this.note("cluster"), store, TEST_OPERATOR_KEYS, end.signal);
    await waitTurns(EVENT_LOOP_TURNS);
});

When(
    "configuration {word} is written to the store, and the answer to the watch is lost",
    function(this: TestWorld, version: string) {
        this.note<FakeFleetStore>("store").put(CONFIGURATION_KEY, Buffer.from(version));
        this.note<() => void>("loseWatch")();
    },
);

Then("configuration {int} comes into force", async function(this: TestWorld, version: number) {
    const { configuration } = this.note<Cluster>("cluster");
    for (let checks = 0; checks < MAX_CHECKS && configuration.current()?.version !== version; checks++) {
        await pause(CHECK_INTERVAL_MS);
    }
    assert.equal(configuration.current()?.version, version);
});

Given("a peer that answers fetches of its configuration when it is told to", function(this: TestWorld) {
    const fetches: ((version: number) => void)[] = [];
    const answers: ((answer: object) => void)[] = [];
    this.notes.set("fetches", fetches);
    this.notes.set("answers", answers);
    const fetchConfiguration = () =>
        new Promise(resolve => {
            answers.push(resolve);
            fetches.push(version => resolve({ text: Buffer.from(String(version)), version }));
        });
    const cluster = this.note<Cluster>("cluster");
    cluster.peers.set("peer", createTestPeer("peer", { fetchConfiguration }));
    cluster.addPeer = address => cluster.peers.get(address);
});

When(
    /^(\d+) heartbeats? of the peer names? configuration (\d+)$/,
    function(this: TestWorld, count: string, version: string) {
        const heartbeat = create(HeartbeatSchema, {
            sender: { node: "peer", address: "peer" },
            configurationVersion: Number(version),
        });
        for (let sent = 0; sent < Number(count); sent++) {
            answerHeartbeat(this.note("cluster"), heartbeat);
        }
    },
);

When("the peer answers with configuration {int}", async function(this: TestWorld, version: number) {
    this.note<((version: number) => void)[]>("fetches").at(-1)!(version);
    await waitTurns(EVENT_LOOP_TURNS);
});

When(
    "the peer answers with the text of configuration {int} as configuration {int}",
    async function(this: TestWorld, textVersion: number, version: number) {
        const answer = { text: Buffer.from(String(textVersion)), version };
        this.note<((answer: object) => void)[]>("answers").at(-1)!(answer);
        await waitTurns(EVENT_LOOP_TURNS);
    },
);

Then(/^the peer has received (\d+) fetch(?:es)?$/, function(this: TestWorld, count: string) {
    assert.equal(this.note<unknown[]>("fetches").length, Number(count));
});
