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
import { sendWithRetries } from "./sendWithRetries.js";

const DEADLINE_MS = 600;
const OWN_DATA_CENTRE = "recife" as DataCentreId;
const OTHER_DATA_CENTRE = "natal" as DataCentreId;

/** A test endpoint that counts the requests it ran. */
type TestEndpoint = { readonly url: string; readonly runs: () => number };

Given(
    "endpoints with the behaviours {string} and {string}",
    async function(this: TestWorld, first: string, second: string) {
        this.notes.set("endpoints", [
            await startTestEndpoint(this, first),
            await startTestEndpoint(this, second),
        ]);
    },
);

When(
    /^(idempotent|non-idempotent) work is served$/,
    async function(this: TestWorld, idempotence: string) {
        const endpoints = this.note<readonly TestEndpoint[]>("endpoints");
        const pool = createEndpointPool({
            dataCentre: OWN_DATA_CENTRE,
            clock: () => performance.now(),
            random: () => 0,
        });
        pool.update(endpoints.map((endpoint, index) => ({
            id: `endpoint-${index}` as EndpointId,
            address: endpoint.url,
            // The first endpoint is in the daemon's data centre, so that it is tried first.
            dataCentre: index === 0 ? OWN_DATA_CENTRE : OTHER_DATA_CENTRE,
            leaving: false,
        })));
        const dispatcher = new Agent();
        this.cleanups.push(() => dispatcher.destroy());
        const state: Partial<DaemonState> = { endpointPool: pool, metrics: createMetrics(), random: () => 0 };
        this.notes.set(
            "reply",
            await sendWithRetries({
                state: state as DaemonState,
                dispatcher,
                kind: create(KindSchema, {
                    idempotent: idempotence === "idempotent",
                    deadlineMs: DEADLINE_MS,
                }),
                retryBudget: createRetryBudget(),
                request: { requestId: "request-1", kind: "walk-in", body: "{\"lane\":4}" },
                deadline: performance.now() + DEADLINE_MS,
            }),
        );
    },
);

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
    const endpoints = this.note<readonly TestEndpoint[]>("endpoints");
    assert.equal(endpoints.reduce((sum, endpoint) => sum + endpoint.runs(), 0), runs);
});

async function startTestEndpoint(world: TestWorld, behaviour: string): Promise<TestEndpoint> {
    if (behaviour === "foreign") {
        return startMismatchingEndpoint(world);
    }
    const endpoint: RunningEndpoint = await startEndpoint("endpoint", { serviceMs: 0 });
    if (behaviour === "gone") {
        await endpoint.close();
    }
    else {
        world.cleanups.push(() => endpoint.close());
    }
    if (behaviour !== "good" && behaviour !== "gone") {
        endpoint.faults[behaviour as Exclude<keyof EndpointFaults, "delayMs">] = true;
    }
    return { url: endpoint.url, runs: () => endpoint.executions.length };
}

/** Starts an endpoint that replies with the answer to another request. */
async function startMismatchingEndpoint(world: TestWorld): Promise<TestEndpoint> {
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
