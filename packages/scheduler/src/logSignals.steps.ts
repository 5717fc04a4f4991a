import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { logSignals } from "./logSignals.js";
import type { SignalName, SignalReceiver } from "./receiveSignals.js";
import { receiveSignals } from "./receiveSignals.js";

const MS_PER_SECOND = 1_000;

type SignalLine = { readonly signal: SignalName; readonly stage: string; readonly notLogged: number };

/** A receiver of signals, and the lines that are logged of them. */
type LogFixture = { readonly signals: SignalReceiver; readonly lines: SignalLine[]; now: number };

Given("a process that receives signals", function(this: TestWorld) {
    const signals = receiveSignals();
    this.notes.set("signals", { signals, lines: [], now: 0 });
    this.cleanups.push(() => signals.close());
});

When("signals are logged", function(this: TestWorld) {
    const fixture = this.note<LogFixture>("signals");
    const log = { info: (_message: string, line: SignalLine) => fixture.lines.push(line) };
    logSignals(fixture.signals, log as never, () => fixture.now);
});

When("the start ends", function(this: TestWorld) {
    this.note<LogFixture>("signals").signals.finishStart();
});

When("{string} arrives", (name: SignalName) => {
    process.emit(name, name);
});

When(
    "{string} arrives {int} times in {float} seconds",
    function(this: TestWorld, name: SignalName, count: number, seconds: number) {
        const fixture = this.note<LogFixture>("signals");
        const startedAt = fixture.now;
        for (let index = 0; index < count; index++) {
            fixture.now = startedAt + index * seconds * MS_PER_SECOND / count;
            process.emit(name, name);
        }
    },
);

Then("the logged signals are {string}", function(this: TestWorld, expected: string) {
    const { lines } = this.note<LogFixture>("signals");
    assert.equal(lines.map(({ signal, stage }) => `${signal} ${stage}`).join(", "), expected);
});

Then(
    "{int} signals are logged, and {int} signals are counted in their lines",
    function(this: TestWorld, logged: number, counted: number) {
        const { lines } = this.note<LogFixture>("signals");
        assert.equal(lines.length, logged);
        assert.equal(lines.reduce((sum, { notLogged }) => sum + notLogged, 0), counted);
    },
);
