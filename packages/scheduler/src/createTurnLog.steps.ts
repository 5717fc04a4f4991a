import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { setImmediate as nextTurn, setTimeout as sleep } from "node:timers/promises";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { TurnLog } from "./createTurnLog.js";
import { createTurnLog } from "./createTurnLog.js";
import type { ReceivedSignal, SignalReceiver } from "./receiveSignals.js";
import { receiveSignals } from "./receiveSignals.js";

/** Time for which the process is busy, in milliseconds. */
const BUSY_MS = 50;

/** A time within the second interval of the turn log, in milliseconds. */
const SECOND_INTERVAL_MS = 150;

/** A receiver of signals in this process, and the moments that a signal is compared with. */
type ReceiverFixture = {
    readonly signals: SignalReceiver;
    /** Monotonic time at which the process had begun to receive signals, in milliseconds. */
    readonly receivesSince: number;
    /** Monotonic time at which the process was no longer busy, in milliseconds. */
    busyUntil?: number;
    signal?: ReceivedSignal;
};

Given(
    "a process whose turns begin at {string} ms, of which the last one is {string}",
    function(this: TestWorld, times: string, last: "complete" | "incomplete") {
        const [first, ...later] = times.split(" ").map(Number);
        let now = first!;
        const turns = createTurnLog(() => now);
        for (const time of later) {
            now = time;
            const completeTurn = turns.begin();
            if (time !== later.at(-1) || last === "complete") {
                completeTurn();
            }
        }
        this.notes.set("turns", turns);
    },
);

Given("a process that receives SIGHUP", function(this: TestWorld) {
    const signals = receiveSignals({ names: ["SIGHUP"] });
    this.notes.set("receiver", { signals, receivesSince: performance.now() });
    this.cleanups.push(() => signals.close());
});

When("the process is busy, and then delivers its signals", async function(this: TestWorld) {
    const fixture = this.note<ReceiverFixture>("receiver");
    const startedAt = performance.now();
    while (performance.now() - startedAt < BUSY_MS) { /* The event loop is held up. */ }
    fixture.busyUntil = performance.now();
    await fixture.signals.deliver();
});

When("the process runs for more than an interval of its turn log", async () => {
    await sleep(SECOND_INTERVAL_MS);
    await nextTurn();
    await nextTurn();
});

When("the process sends itself SIGHUP", async function(this: TestWorld) {
    const fixture = this.note<ReceiverFixture>("receiver");
    fixture.signal = await new Promise<ReceivedSignal>(resolve => {
        fixture.signals.handle("SIGHUP", resolve);
        process.kill(process.pid, "SIGHUP");
    });
});

Then("the signal was sent after the process was busy", function(this: TestWorld) {
    const { signal, busyUntil } = this.note<ReceiverFixture>("receiver");
    assert.ok(signal!.sentAfter >= busyUntil!, JSON.stringify({ sentAfter: signal!.sentAfter, busyUntil }));
});

Then("the signal was sent after the process began to receive signals", function(this: TestWorld) {
    const { signal, receivesSince } = this.note<ReceiverFixture>("receiver");
    assert.ok(
        signal!.sentAfter > receivesSince,
        JSON.stringify({ sentAfter: signal!.sentAfter, receivesSince }),
    );
});

Then(
    "a signal that is handled at {int} ms was sent after {int} ms",
    function(this: TestWorld, handledAt: number, sentAfter: number) {
        const lastTurnAt = this.note<TurnLog>("turns").getLastTurnAt();
        assert.equal(lastTurnAt, sentAfter);
        assert.ok(lastTurnAt <= handledAt);
    },
);
