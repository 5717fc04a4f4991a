import { createStore } from "@balsamward/coordination";
import type { CustomerId } from "@balsamward/schema";
import { Outcome, outcomeName, Reason } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createLogger } from "winston";
import type { StoreFault } from "../../../../features/support/FakeStore.js";
import { FakeStore } from "../../../../features/support/FakeStore.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { DaemonState } from "../DaemonState.js";
import { createMembership } from "../peers/Membership.js";
import type { Reply } from "./Reply.js";
import { serveAtMostOnce } from "./serveAtMostOnce.js";

const WAIT_MS = 250;

Given("two daemons that share an in-memory store", function(this: TestWorld) {
    const memory = new FakeStore(() => 0);
    this.notes.set("memory", memory);
    this.notes.set("daemons", [createDaemonState(memory, "entry-0"), createDaemonState(memory, "entry-1")]);
    this.notes.set("sent", []);
});

Given("the next claim writes meet the faults {string}", function(this: TestWorld, faults: string) {
    this.note<FakeStore>("memory").writeFaults = faults.split(" ") as StoreFault[];
});

When("the first daemon serves a request that ends as {string}", async function(this: TestWorld, end: string) {
    const serving = serveOnDaemon(this, 0, "{}", end);
    if (end === "dies") {
        await new Promise(resolve => setImmediate(resolve));
        return;
    }
    this.notes.set("first", await serving);
});

When("the second daemon serves the same request with the same key", async function(this: TestWorld) {
    this.note<FakeStore>("memory").writeFaults = [];
    this.notes.set("second", await serveOnDaemon(this, 1, "{}", "completed"));
});

When("the second daemon serves a different request with the same key", async function(this: TestWorld) {
    this.notes.set("second", await serveOnDaemon(this, 1, "{\"other\":1}", "completed"));
});

Then(
    "the first outcome is {string} and the second is {string}",
    function(this: TestWorld, first: string, second: string) {
        const outcomes = ["first", "second"].map(name => {
            const reply = this.note<Reply | undefined>(name);
            return reply === undefined ? "none" : outcomeName(reply.outcome);
        });
        assert.deepEqual(outcomes, [first, second]);
    },
);

Then("the request was sent {int} times", function(this: TestWorld, times: number) {
    assert.equal(this.note<readonly string[]>("sent").length, times);
});

function serveOnDaemon(world: TestWorld, daemon: number, content: string, result: string): Promise<Reply> {
    const sent = world.note<string[]>("sent");
    return serveAtMostOnce(world.note<readonly DaemonState[]>("daemons")[daemon]!, {
        customer: "a" as CustomerId,
        idempotencyKey: "batch-7",
        content,
        deadline: performance.now() + WAIT_MS,
        run: () => runWork(sent, result),
    });
}

/** Records the request as sent unless it is refused; a request whose daemon dies never ends. */
function runWork(sent: string[], result: string): Promise<Reply> {
    if (result === "refused") {
        return Promise.resolve({ outcome: Outcome.REFUSED, reason: Reason.NO_ENDPOINT, status: 503 });
    }
    sent.push(result);
    switch (result) {
        case "completed":
            return Promise.resolve({
                outcome: Outcome.COMPLETED,
                reason: Reason.NONE,
                status: 200,
                answer: "{}",
            });
        case "failed":
            return Promise.resolve({ outcome: Outcome.FAILED, reason: Reason.ENDPOINT_FAILED, status: 502 });
        case "unknown":
            return Promise.resolve({ outcome: Outcome.UNKNOWN, reason: Reason.ANSWER_CUT, status: 504 });
        default:
            return new Promise(() => undefined);
    }
}

function createDaemonState(memory: FakeStore, node: string): DaemonState {
    const state: Partial<DaemonState> = {
        node: node as DaemonState["node"],
        incarnation: `${node}-life`,
        environment: "production",
        store: createStore(memory.createTransport(), { pause: () => Promise.resolve() }),
        membership: createMembership(() => 0),
        log: createLogger({ silent: true }),
        claimLease: undefined,
    };
    return state as DaemonState;
}
