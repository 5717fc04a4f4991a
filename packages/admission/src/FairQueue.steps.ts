import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import { FairQueue } from "./FairQueue.js";

const SEED = 20_261_204;

Given("a fair queue", function(this: TestWorld) {
    this.notes.set("queue", new FairQueue());
    this.notes.set("callers", new Map<unknown, string>());
});

When(
    "caller {string} of {string} adds {int} requests at urgency {int}",
    function(this: TestWorld, caller: string, customer: string, count: number, urgency: number) {
        const callers = this.note<Map<unknown, string>>("callers");
        for (let index = 0; index < count; index++) {
            const run = () => Promise.resolve();
            callers.set(run, caller);
            this.note<FairQueue>("queue").enqueue(run, { caller, customer, urgency, weight: 1 });
        }
    },
);

When("{int} requests are added or removed at random", function(this: TestWorld, count: number) {
    const queue = this.note<FairQueue>("queue");
    const random = xoroshiro128plus(SEED);
    const added: unknown[] = [];
    const removed: unknown[] = [];
    for (let index = 0; index < count; index++) {
        if (uniformInt(random, 0, 2) > 0) {
            const run = () => Promise.resolve();
            added.push(run);
            const [customer, caller] = [`c${uniformInt(random, 0, 3)}`, `k${uniformInt(random, 0, 5)}`];
            queue.enqueue(run, {
                caller,
                customer,
                urgency: uniformInt(random, 1, 4),
                weight: 1 + index % 3,
            });
        }
        else {
            removed.push(queue.dequeue());
        }
    }
    while (queue.size > 0) {
        removed.push(queue.dequeue());
    }
    this.notes.set("added", added);
    this.notes.set("removed", removed.filter(run => run !== undefined));
});

Then(
    "the requests of caller {string} are among the first {int}",
    function(this: TestWorld, caller: string, bound: number) {
        const callers = this.note<Map<unknown, string>>("callers");
        const order: string[] = [];
        for (
            let run = this.note<FairQueue>("queue").dequeue();
            run !== undefined;
            run = this.note<FairQueue>("queue").dequeue()
        ) {
            order.push(callers.get(run)!);
        }
        assert.ok(
            order.lastIndexOf(caller) < bound,
            `the last one is at position ${order.lastIndexOf(caller) + 1}`,
        );
        assert.equal(order.length, callers.size);
    },
);

Then("every request was removed exactly once", function(this: TestWorld) {
    const removed = this.note<readonly unknown[]>("removed");
    assert.equal(new Set(removed).size, removed.length);
    assert.deepEqual(new Set(removed), new Set(this.note<readonly unknown[]>("added")));
});
