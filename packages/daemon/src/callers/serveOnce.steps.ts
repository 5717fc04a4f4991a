import { createStore } from "@balsamward/coordination";
import type { CustomerId } from "@balsamward/schema";
import { Outcome, outcomeName, Reason } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createLogger } from "winston";
import type { StoreFault } from "../../../../features/support/MemoryStore.js";
import { MemoryStore } from "../../../../features/support/MemoryStore.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { DaemonState } from "../DaemonState.js";
import { createMembership } from "../peers/Membership.js";
import type { Reply } from "./Reply.js";
import { serveOnce } from "./serveOnce.js";

const WAIT_MS = 250;

Given("two daemons that share a store in memory", function(this: TestWorld) {
    const memory = new MemoryStore(() => 0);
    this.notes.set("memory", memory);
    this.notes.set("daemons", [composeDaemon(memory, "entry-0"), composeDaemon(memory, "entry-1")]);
    this.notes.set("sent", []);
});

Given("the next claim writes meet {string}", function(this: TestWorld, faults: string) {
    this.note<MemoryStore>("memory").faults = faults.split(" ") as StoreFault[];
});

When("the first daemon serves work that ends as {string}", async function(this: TestWorld, end: string) {
    const serving = serve(this, 0, "{}", end);
    if (end === "dies") {
        await new Promise(resolve => setImmediate(resolve));
        return;
    }
    this.notes.set("first", await serving);
});

When("the second daemon serves the same key", async function(this: TestWorld) {
    this.note<MemoryStore>("memory").faults = [];
    this.notes.set("second", await serve(this, 1, "{}", "completed"));
});

When("the second daemon serves another request with the same key", async function(this: TestWorld) {
    this.notes.set("second", await serve(this, 1, "{\"other\":1}", "completed"));
});

Then(
    "the first answer is {string} and the second is {string}",
    function(this: TestWorld, first: string, second: string) {
        const outcomes = ["first", "second"].map(name => {
            const reply = this.note<Reply | undefined>(name);
            return reply === undefined ? "none" : outcomeName(reply.outcome);
        });
        assert.deepEqual(outcomes, [first, second]);
    },
);

Then("the work was sent {int} times", function(this: TestWorld, times: number) {
    assert.equal(this.note<readonly string[]>("sent").length, times);
});

function serve(world: TestWorld, daemon: number, content: string, end: string): Promise<Reply> {
    const sent = world.note<string[]>("sent");
    return serveOnce(world.note<readonly DaemonState[]>("daemons")[daemon]!, {
        customer: "a" as CustomerId,
        idempotencyKey: "batch-7",
        content,
        deadline: performance.now() + WAIT_MS,
        run: () => runWork(sent, end),
    });
}

/** Refused work is not sent; the work of a daemon that dies never ends. */
function runWork(sent: string[], end: string): Promise<Reply> {
    if (end === "refused") {
        return Promise.resolve({ outcome: Outcome.REFUSED, reason: Reason.NO_ENDPOINT, status: 503 });
    }
    sent.push(end);
    switch (end) {
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

function composeDaemon(memory: MemoryStore, node: string): DaemonState {
    const state: Partial<DaemonState> = {
        node: node as DaemonState["node"],
        incarnation: `${node}-life`,
        environment: "production",
        store: createStore(memory.transport(), { pause: () => Promise.resolve() }),
        membership: createMembership(() => 0),
        log: createLogger({ silent: true }),
        claimLease: undefined,
    };
    return state as DaemonState;
}
