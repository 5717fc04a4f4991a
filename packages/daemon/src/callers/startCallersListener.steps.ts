import { GetJobResponseSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { Socket } from "node:net";
import { connect } from "node:net";
import { text } from "node:stream/consumers";
import { createLogger } from "winston";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import type { DaemonState } from "../DaemonState.js";
import { createMetrics } from "../Metrics.js";
import type { CellRouter } from "../peers/CellRouter.js";
import type { CallersListener } from "./startCallersListener.js";
import { startCallersListener } from "./startCallersListener.js";

/** Time for which the daemon waits for its requests at the end of the drain, in milliseconds. */
const DRAIN_TIMEOUT_MS = 300;

/** Well above the duration of a step, so that one that does not end fails. */
const STEP_TIMEOUT_MS = 10_000;

/** Turns of the event loop within which the end of a connection reaches the other side. */
const CONNECTION_END_TURNS = 20;

const SILENT_JOB = "silent";
const AUTHORIZATION = "Authorization: Bearer token";
const QUERY = `GET /v1/jobs/job HTTP/1.1\r\nHost: here\r\n${AUTHORIZATION}\r\n\r\n`;
const QUERY_OF_SILENT_JOB = QUERY.replace("/job ", `/${SILENT_JOB} `);
const PART_OF_SUBMISSION =
    `POST /v1/jobs HTTP/1.1\r\nHost: here\r\n${AUTHORIZATION}\r\nContent-Length: 100\r\n\r\n{`;

function createTestState(): DaemonState {
    return {
        log: createLogger({ silent: true }),
        metrics: createMetrics(),
        isStopping: false,
        isDraining: false,
        activeConfiguration: {
            customersByToken: new Map([["token", "ana"]]),
            customersByTokenDigest: new Map(),
            document: { customer: { ana: {} } },
        },
    } as unknown as DaemonState;
}

function createTestRouter(world: TestWorld): CellRouter {
    return {
        get: (_cell: string, job: string) => {
            world.notes.set("isAsked", true);
            return job === SILENT_JOB
                ? new Promise(() => {})
                : Promise.resolve(create(GetJobResponseSchema, {
                    job: { id: job, customer: "ana", kind: "train" },
                    explanation: "x".repeat(world.notes.get("size") as number ?? 0),
                }));
        },
    } as unknown as CellRouter;
}

async function openConnection(world: TestWorld): Promise<Socket> {
    const [host, port] = world.note<string>("address").split(":");
    const socket = connect(Number(port), host);
    world.cleanups.push(() => void socket.destroy());
    await once(socket, "connect");
    return socket;
}

/** Sends a request and reads the response up to its end; the answers here are short. */
async function request(socket: Socket, requestText: string): Promise<string> {
    socket.write(requestText);
    const [bytes] = await once(socket, "data") as [Buffer];
    return bytes.toString();
}

Given("a callers' listener with an open connection", async function(this: TestWorld) {
    const state = createTestState();
    const address = await findFreeAddress();
    const listener = await startCallersListener(state, createTestRouter(this), address);
    this.cleanups.push(() => listener.close());
    this.notes.set("address", address);
    this.notes.set("state", state);
    this.notes.set("listener", listener);
    const socket = await openConnection(this);
    assert.match(await request(socket, QUERY), /^HTTP\/1.1 200 /);
    this.notes.set("socket", socket);
});

function beginRefusing(world: TestWorld): void {
    const state = world.note<DaemonState>("state");
    state.isStopping = true;
    state.isDraining = true;
}

When("the daemon begins to refuse requests", function(this: TestWorld) {
    beginRefusing(this);
});

Then(
    "a request on the open connection is refused with the reason {string}",
    async function(this: TestWorld, reason: string) {
        const answer = await request(this.note<Socket>("socket"), QUERY);
        assert.match(answer, new RegExp(`"reason":"${reason}"`));
    },
);

Then(
    "a request on a new connection is refused with the reason {string}",
    async function(this: TestWorld, reason: string) {
        const answer = await request(await openConnection(this), QUERY);
        assert.match(answer, new RegExp(`"reason":"${reason}"`));
    },
);

/** Sends a request whose answer is read later, and waits until `hasArrived`. */
async function sendAndWait(world: TestWorld, requestText: string, hasArrived: () => boolean): Promise<void> {
    const socket = await openConnection(world);
    socket.pause();
    world.notes.delete("isAsked");
    socket.write(requestText);
    while (!hasArrived()) {
        await waitTurns(1);
    }
    world.notes.set("caller", socket);
}

When(
    "a caller requests a job of {int} bytes and reads nothing yet",
    async function(this: TestWorld, size: number) {
        this.notes.set("size", size);
        await sendAndWait(this, QUERY, () => this.notes.has("isAsked"));
    },
);

When("a caller requests a job whose owner does not answer", async function(this: TestWorld) {
    await sendAndWait(this, QUERY_OF_SILENT_JOB, () => this.notes.has("isAsked"));
});

When("the caller ends its side of the connection", async function(this: TestWorld) {
    this.note<Socket>("caller").end();
    await waitTurns(CONNECTION_END_TURNS);
});

When("a caller sends a part of a submission", async function(this: TestWorld) {
    const listener = this.note<CallersListener>("listener");
    await sendAndWait(this, PART_OF_SUBMISSION, () => listener.countOpenRequests() > 0);
});

When(
    "the daemon finishes its requests and closes the listener",
    { timeout: STEP_TIMEOUT_MS },
    async function(this: TestWorld) {
        beginRefusing(this);
        const listener = this.note<CallersListener>("listener");
        const received = text(this.note<Socket>("caller")).catch(String);
        await listener.finish(DRAIN_TIMEOUT_MS);
        await listener.close();
        this.notes.set("received", await received);
    },
);

Then("the caller that reads on has received the whole answer", function(this: TestWorld) {
    const received = this.note<string>("received");
    const length = Number(/content-length: (\d+)/i.exec(received)?.[1]);
    assert.equal(received.slice(received.indexOf("\r\n\r\n") + 4).length, length);
});

Then(
    "the caller is told the outcome {string} and the reason {string}",
    function(this: TestWorld, outcome: string, reason: string) {
        const received = this.note<string>("received");
        assert.match(received, new RegExp(`"outcome":"${outcome}","reason":"${reason}"`));
    },
);
