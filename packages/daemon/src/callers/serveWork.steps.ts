import { createEndpointPool, createRetryBudget } from "@balsamward/admission";
import type { DataCentreId, EndpointId } from "@balsamward/schema";
import { KindSchema, outcomeName, reasonName } from "@balsamward/schema";
import type { EndpointFaults, RunningEndpoint } from "@balsamward/stand-ins";
import { startEndpoint } from "@balsamward/stand-ins";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Agent } from "undici";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { DaemonState } from "../DaemonState.js";
import { createMetrics } from "../Metrics.js";
import type { Reply } from "./Reply.js";
import { serveWork } from "./serveWork.js";

const DEADLINE_MS = 600;
const NEAR = "recife" as DataCentreId;
const FAR = "natal" as DataCentreId;

/** An endpoint with the number of requests that it ran. */
type Place = { readonly url: string; readonly runs: () => number };

Given(
    "endpoints that are {string} and {string}",
    async function(this: TestWorld, first: string, second: string) {
        this.notes.set("places", [await startPlace(this, first), await startPlace(this, second)]);
    },
);

When(/^(idempotent|non-idempotent) work is served$/, async function(this: TestWorld, work: string) {
    const places = this.note<readonly Place[]>("places");
    const pool = createEndpointPool({ dataCentre: NEAR, clock: () => performance.now(), random: () => 0 });
    pool.update(places.map((place, index) => ({
        id: `endpoint-${index}` as EndpointId,
        address: place.url,
        // The first endpoint is near, so that it is tried first.
        dataCentre: index === 0 ? NEAR : FAR,
        leaving: false,
    })));
    const dispatcher = new Agent();
    this.cleanups.push(() => dispatcher.destroy());
    const state: Partial<DaemonState> = { pool, metrics: createMetrics(), random: () => 0 };
    this.notes.set(
        "reply",
        await serveWork({
            state: state as DaemonState,
            dispatcher,
            kind: create(KindSchema, { idempotent: work === "idempotent", deadlineMs: DEADLINE_MS }),
            retries: createRetryBudget(),
            work: { requestId: "request-1", kind: "walk-in", body: "{\"lane\":4}" },
            deadline: performance.now() + DEADLINE_MS,
        }),
    );
});

Then(
    "its outcome is {string} with the reason {string}",
    function(this: TestWorld, outcome: string, reason: string) {
        const reply = this.note<Reply>("reply");
        assert.deepEqual([outcomeName(reply.outcome), reasonName(reply.reason)], [outcome, reason]);
        assert.equal(reply.answer !== undefined, outcome === "completed");
        assert.ok(
            reply.answer === undefined
                || (JSON.parse(reply.answer) as { request: string }).request === "request-1",
        );
    },
);

Then("the endpoints ran it {int} times", function(this: TestWorld, runs: number) {
    const places = this.note<readonly Place[]>("places");
    assert.equal(places.reduce((sum, place) => sum + place.runs(), 0), runs);
});

async function startPlace(world: TestWorld, nature: string): Promise<Place> {
    if (nature === "foreign") {
        return startForeign(world);
    }
    const endpoint: RunningEndpoint = await startEndpoint("endpoint", { serviceMs: 0 });
    if (nature === "gone") {
        await endpoint.close();
    }
    else {
        world.cleanups.push(() => endpoint.close());
    }
    if (nature !== "good" && nature !== "gone") {
        endpoint.faults[nature as Exclude<keyof EndpointFaults, "delayMs">] = true;
    }
    return { url: endpoint.url, runs: () => endpoint.executions.length };
}

/** Starts an endpoint that answers with the answer to another request. */
async function startForeign(world: TestWorld): Promise<Place> {
    let runs = 0;
    const server = createServer((req, res) => {
        runs += 1;
        res.setHeader("x-request-id", "request-2");
        res.end("{\"request\":\"request-2\"}");
    });
    await new Promise<void>(resolve => server.listen(0, "127.0.0.1", () => resolve()));
    world.cleanups.push(() => {
        server.closeAllConnections();
        server.close();
    });
    return { url: `http://127.0.0.1:${(server.address() as AddressInfo).port}`, runs: () => runs };
}
