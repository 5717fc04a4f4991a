import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { AddressInfo, Server } from "node:net";
import { createServer } from "node:net";
import { FakeClock } from "../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { waitTurns } from "../../../features/support/waitTurns.js";
import { listenOn } from "./listenOn.js";

const MS_PER_SECOND = 1_000;

/** Turns of the event loop until an attempt to listen has ended. */
const ATTEMPT_TURNS = 20;

/** A server that waits for an address in use. */
type ListenFixture = {
    readonly clock: FakeClock;
    readonly holder: Server;
    readonly server: Server;
    readonly starting: AbortController;
    readonly messages: string[];
    outcome: string | undefined;
};

Given(
    "a server that waits up to {int} seconds for an address in use",
    async function(this: TestWorld, seconds: number) {
        const holder = createServer().listen(0, "127.0.0.1");
        await once(holder, "listening");
        const { port } = holder.address() as AddressInfo;
        const messages: string[] = [];
        const write = (message: string): unknown => messages.push(message);
        const clock = new FakeClock();
        const fixture: ListenFixture = {
            clock,
            holder,
            server: createServer(),
            starting: new AbortController(),
            messages,
            outcome: undefined,
        };
        this.notes.set("listen", fixture);
        this.cleanups.push(() => {
            holder.close();
            fixture.server.close();
        });
        listenOn(fixture.server, `127.0.0.1:${port}`, {
            signal: fixture.starting.signal,
            addressWait: {
                timeoutMs: seconds * MS_PER_SECOND,
                log: { info: write, warn: write } as never,
                pause: clock.pause,
                clock: () => clock.now,
            },
        }).then(() => fixture.outcome = "listening", (error: unknown) => {
            const { code, name } = error as NodeJS.ErrnoException;
            fixture.outcome = name === "AbortError" ? "ABORT_ERR" : code!;
        });
        await waitTurns(ATTEMPT_TURNS);
    },
);

When("{float} second(s) of the wait pass(es)", async function(this: TestWorld, seconds: number) {
    await this.note<ListenFixture>("listen").clock.advance(seconds * MS_PER_SECOND);
    await waitTurns(ATTEMPT_TURNS);
});

When("the address becomes free", async function(this: TestWorld) {
    const { holder } = this.note<ListenFixture>("listen");
    holder.close();
    await once(holder, "close");
});

When("the start is given up", async function(this: TestWorld) {
    this.note<ListenFixture>("listen").starting.abort();
    await waitTurns(ATTEMPT_TURNS);
});

Then("the server listens", function(this: TestWorld) {
    const { outcome, server } = this.note<ListenFixture>("listen");
    assert.equal(outcome, "listening");
    assert.ok(server.listening);
});

Then("the server still waits", function(this: TestWorld) {
    assert.equal(this.note<ListenFixture>("listen").outcome, undefined);
});

Then("the server fails with {string}", function(this: TestWorld, code: string) {
    assert.equal(this.note<ListenFixture>("listen").outcome, code);
});

Then("the wait and its end are logged once each", function(this: TestWorld) {
    assert.deepEqual(this.note<ListenFixture>("listen").messages, [
        "The address is in use. The daemon waits for it.",
        "The address is free. The daemon listens on it.",
    ]);
});

Then("the server has no listener for errors", function(this: TestWorld) {
    assert.equal(this.note<ListenFixture>("listen").server.listenerCount("error"), 0);
});
