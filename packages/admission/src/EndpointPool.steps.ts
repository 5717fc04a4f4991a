import type { DataCentreId, EndpointId } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { Endpoint, EndpointPool } from "./EndpointPool.js";
import { createEndpointPool } from "./EndpointPool.js";

const SEED = 20_261_204;
const NO_EXCLUSIONS: ReadonlySet<EndpointId> = new Set();

/** A pool with its endpoints and the current time of its clock in milliseconds. */
type PoolFixture = { readonly pool: EndpointPool; readonly endpoints: readonly Endpoint[]; now: number };

Given(
    "a pool of {int} endpoints, {int} of them in the local data centre",
    function(this: TestWorld, count: number, local: number) {
        const random = xoroshiro128plus(SEED);
        const fixture: { now: number } = { now: 0 };
        const pool = createEndpointPool({
            dataCentre: "recife" as DataCentreId,
            clock: () => fixture.now,
            random: () => uniformFloat64(random),
        });
        const endpoints = Array.from({ length: count }, (_, index): Endpoint => ({
            id: `endpoint-${index}` as EndpointId,
            address: "http://127.0.0.1:1",
            dataCentre: (index < local ? "recife" : "natal") as DataCentreId,
            leaving: false,
        }));
        pool.update(endpoints);
        this.notes.set("fixture", Object.assign(fixture, { pool, endpoints }));
    },
);

When(
    /^"([^"]+)" is said to be leaving by (the list|a peer|its answer)$/,
    function(this: TestWorld, id: string, source: string) {
        const { pool, endpoints } = this.note<PoolFixture>("fixture");
        if (source === "the list") {
            pool.update(endpoints.map(endpoint => ({ ...endpoint, leaving: endpoint.id === id })));
        }
        else if (source === "a peer") {
            pool.markLeaving(id as EndpointId);
        }
        else {
            attemptAt(pool, id, "leaving");
        }
    },
);

When("{string} fails {int} times", function(this: TestWorld, id: string, times: number) {
    const { pool } = this.note<PoolFixture>("fixture");
    for (let index = 0; index < times; index++) {
        attemptAt(pool, id, "failed");
    }
});

When("every endpoint fails {int} times", function(this: TestWorld, times: number) {
    const { pool, endpoints } = this.note<PoolFixture>("fixture");
    for (let index = 0; index < times * endpoints.length; index++) {
        const endpoint = pool.acquire(NO_EXCLUSIONS);
        if (endpoint !== undefined) {
            pool.release(endpoint.id, "failed");
        }
    }
});

Then("{int} attempts avoid {string}", function(this: TestWorld, count: number, id: string) {
    const chosen = runAttempts(this.note<PoolFixture>("fixture").pool, count);
    assert.ok(chosen.length === count && !chosen.includes(id));
});

Then("a later list that still shows it as live changes nothing", function(this: TestWorld) {
    const { pool, endpoints } = this.note<PoolFixture>("fixture");
    pool.update(endpoints);
    assert.ok(!runAttempts(pool, 100).includes("endpoint-0"));
});

Then(
    "the first {int} attempts go to local endpoints and the next {int} to remote ones",
    function(this: TestWorld, local: number, remote: number) {
        const { pool } = this.note<PoolFixture>("fixture");
        const dataCentres = Array.from(
            { length: local + remote },
            () => pool.acquire(NO_EXCLUSIONS)?.dataCentre,
        );
        assert.deepEqual(dataCentres, [
            ...Array.from({ length: local }, () => "recife"),
            ...Array.from({ length: remote }, () => "natal"),
        ]);
    },
);

Then("no further attempt finds a free slot", function(this: TestWorld) {
    assert.equal(this.note<PoolFixture>("fixture").pool.acquire(NO_EXCLUSIONS), undefined);
});

Then("after {int} ms it is tried again", function(this: TestWorld, ms: number) {
    const fixture = this.note<PoolFixture>("fixture");
    fixture.now += ms;
    assert.ok(runAttempts(fixture.pool, 100).includes("endpoint-0"));
});

Then("at least {int} endpoints still get attempts", function(this: TestWorld, count: number) {
    assert.ok(new Set(runAttempts(this.note<PoolFixture>("fixture").pool, 200)).size >= count);
});

/** Makes successful attempts, each with a second one at another endpoint, and returns the first endpoints. */
function runAttempts(pool: EndpointPool, count: number): readonly string[] {
    const chosen: string[] = [];
    for (let index = 0; index < count; index++) {
        const first = pool.acquire(NO_EXCLUSIONS);
        const second = pool.acquire(new Set(first === undefined ? [] : [first.id]));
        for (const endpoint of [first, second]) {
            if (endpoint !== undefined) {
                pool.release(endpoint.id, "succeeded");
            }
        }
        chosen.push(...first === undefined ? [] : [first.id]);
    }
    return chosen;
}

function attemptAt(pool: EndpointPool, id: string, result: "failed" | "leaving"): void {
    const endpoint = pool.acquire(
        new Set(
            ["endpoint-0", "endpoint-1", "endpoint-2", "endpoint-3"].filter(other =>
                other !== id
            ) as EndpointId[],
        ),
    );
    assert.equal(endpoint?.id, id);
    pool.release(endpoint.id, result);
}
