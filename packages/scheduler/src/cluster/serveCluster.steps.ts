import { JobSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { ClientHttp2Stream, IncomingHttpHeaders } from "node:http2";
import { connect, constants } from "node:http2";
import { connect as connectTcp } from "node:net";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import { parseText } from "../../../../features/support/parseText.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { collectUnhandledErrors, SETTLING_TURNS } from "../../../../features/support/unhandledErrors.js";
import { waitTurns } from "../../../../features/support/waitTurns.js";
import { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { RpcListener } from "../startRpcListener.js";
import { createPeerClient } from "./createPeerClient.js";
import { runPeers } from "./runPeers.js";
import type { OwnerService } from "./serveCluster.js";
import { serveCluster } from "./serveCluster.js";

const CALL_TIMEOUT_MS = 2_000;

/** Well above the duration of a stop, so that one that does not end fails the step. */
const STOP_TIMEOUT_MS = 5_000;

/** Time for which a watch waits for events that do not come, in milliseconds. */
const LONG_WAIT_MS = 60_000;

Given("a daemon that serves its peers", async function(this: TestWorld) {
    collectUnhandledErrors(this);
    const cluster = createTestCluster("here", await findFreeAddress());
    const end = new AbortController();
    runPeers(cluster, end.signal);
    const store = new FakeFleetStore(() => 0).createClient();
    const localOwner = (): OwnerService | undefined => this.note("localOwner");
    const listener = await serveCluster({ cluster, store, localOwner }, cluster.address);
    const client = createPeerClient(cluster.address);
    this.notes.set("address", cluster.address);
    this.notes.set("client", client);
    this.notes.set("listener", listener);
    this.cleanups.push(async () => {
        end.abort();
        client.reset();
        if (!this.notes.has("stopped")) {
            await listener.close();
        }
    });
});

When(
    "a peer announces a job with the spec {string} to the owner",
    async function(this: TestWorld, spec: string) {
        const addJob: OwnerService["addJob"] = job => this.notes.set("spec", job.spec);
        this.notes.set("localOwner", { addJob });
        const job = create(JobSchema, { spec: parseText(spec) });
        const { calls } = this.note<ReturnType<typeof createPeerClient>>("client");
        await calls.announceJob({ job }, { timeoutMs: CALL_TIMEOUT_MS });
    },
);

Then("the owner has a job with the spec {string}", function(this: TestWorld, spec: string) {
    assert.equal(this.note("spec"), parseText(spec));
});

/** Opens a call on a connection of its own, which lasts until the scenario ends. */
function openCall(world: TestWorld): ClientHttp2Stream {
    const session = connect(`http://${world.note<string>("address")}`);
    session.on("error", () => {});
    world.cleanups.push(() => session.destroy());
    const stream = session.request({
        ":method": "POST",
        ":path": "/balsamward.scheduling.v1.ClusterService/Exchange",
        "content-type": "application/proto",
        "connect-protocol-version": "1",
    });
    stream.on("error", () => {});
    return stream;
}

When("a peer sends a call with a malformed message", async function(this: TestWorld) {
    const stream = openCall(this);
    stream.end(Buffer.from("not a message"));
    const [headers] = await once(stream, "response") as [IncomingHttpHeaders];
    this.notes.set("status", headers[":status"]);
    stream.resume();
});

When("a peer resets a call before its message is complete", async function(this: TestWorld) {
    const stream = openCall(this);
    await new Promise(resolve => stream.write(Buffer.from([10]), resolve));
    const closed = new Promise(resolve => stream.once("close", resolve));
    stream.close(constants.NGHTTP2_INTERNAL_ERROR);
    await closed;
    await waitTurns(SETTLING_TURNS);
});

When("a peer sends a call whose message does not end", async function(this: TestWorld) {
    const stream = openCall(this);
    await new Promise(resolve => stream.write(Buffer.from([10]), resolve));
    // The daemon has received the call by the time it answers a later one on the same connection.
    await new Promise(resolve => stream.session!.ping(resolve));
});

When("a peer opens a connection and sends nothing", async function(this: TestWorld) {
    const [host, port] = this.note<string>("address").split(":");
    const socket = connectTcp(Number(port), host);
    socket.on("error", () => {});
    this.cleanups.push(() => void socket.destroy());
    // The settings of the daemon's session show that the connection has been accepted.
    await once(socket, "data");
});

When("a peer opens a connection and is cut off", async function(this: TestWorld) {
    const [host, port] = this.note<string>("address").split(":");
    // The daemon's end of the connection is received, but not answered.
    const socket = connectTcp({ host: host!, port: Number(port), allowHalfOpen: true });
    socket.on("error", () => {});
    this.cleanups.push(() => void socket.destroy());
    await once(socket, "data");
});

When("a peer relays a watch through the daemon", async function(this: TestWorld) {
    const { calls } = this.note<ReturnType<typeof createPeerClient>>("client");
    const call = { case: "watch", value: { prefix: "key", after: 100, waitMs: LONG_WAIT_MS } } as const;
    const answer = calls.relayStoreCall({ call }, { timeoutMs: LONG_WAIT_MS }).catch(error => error);
    this.notes.set("relayedWatch", answer);
    // The daemon has received the watch by the time it answers a later call on the same connection.
    await calls.fetchConfiguration({}, { timeoutMs: CALL_TIMEOUT_MS });
});

Then("the daemon stops serving its peers", { timeout: STOP_TIMEOUT_MS }, async function(this: TestWorld) {
    this.notes.set("stopped", true);
    await this.note<RpcListener>("listener").close();
});

Then("the relayed watch is answered", async function(this: TestWorld) {
    const answer = await this.note<Promise<unknown>>("relayedWatch");
    assert.ok(!(answer instanceof Error), String(answer));
});

When("a peer sends a request of another protocol", async function(this: TestWorld) {
    const [host, port] = this.note<string>("address").split(":");
    const socket = connectTcp(Number(port), host);
    socket.on("error", () => {});
    socket.end("GET / HTTP/1.1\r\n\r\n");
    socket.resume();
    await once(socket, "close");
});

When(
    "a peer sends a heartbeat from the address {string} that lists a peer at {string}",
    async function(this: TestWorld, address: string, listedAddress: string) {
        const client = this.note<ReturnType<typeof createPeerClient>>("client");
        const heartbeat = {
            sender: { node: "there", address },
            peers: [{ node: "elsewhere", address: listedAddress }],
        };
        await client.calls.exchange({ heartbeat }, { timeoutMs: CALL_TIMEOUT_MS }).catch(() => undefined);
        await waitTurns(SETTLING_TURNS);
    },
);

Then("the peer's call is refused", function(this: TestWorld) {
    assert.ok(this.note<number>("status") >= constants.HTTP_STATUS_BAD_REQUEST);
});

Then("a heartbeat to the daemon is answered", async function(this: TestWorld) {
    const client = this.note<ReturnType<typeof createPeerClient>>("client");
    const answer = await client.calls.exchange({}, { timeoutMs: CALL_TIMEOUT_MS });
    assert.equal(answer.heartbeat?.sender?.node, "here");
});
