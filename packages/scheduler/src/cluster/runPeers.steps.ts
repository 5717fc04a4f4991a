import { HeartbeatSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { Cluster } from "./Cluster.js";
import { updateOwner } from "./Cluster.js";
import { runPeers } from "./runPeers.js";

const MS_PER_SECOND = 1_000;
const CLOCK_STEP_MS = 50;
const FIRST_ANSWER_TIMEOUT_MS = 120_000;
const REACHABLE = "127.0.0.2:1";

/** A daemon, its clock, and the number of exchanges with the reachable peer so far. */
type Exchanges = { readonly cluster: Cluster; readonly clock: FakeClock; count: number };

/** Advances the clock until the daemon has exchanged heartbeats with the reachable peer again. */
async function waitForExchange(world: TestWorld, before: number, timeoutMs: number): Promise<void> {
    const exchanges = world.note<Exchanges>("exchanges");
    const deadline = exchanges.clock.now + timeoutMs;
    while (exchanges.count === before) {
        if (exchanges.clock.now > deadline) {
            throw new Error(`No heartbeats are exchanged with the peer within ${timeoutMs} ms.`);
        }
        await exchanges.clock.advance(CLOCK_STEP_MS);
    }
}

Given(
    "a daemon with {int} peers, of which one is reachable and has answered",
    async function(this: TestWorld, count: number) {
        const clock = new FakeClock();
        const cluster = createTestCluster("here", "127.0.0.1:1", () => clock.now);
        const heartbeat = create(HeartbeatSchema, { sender: { node: "reachable", address: REACHABLE } });
        const exchanges: Exchanges = { cluster, clock, count: 0 };
        cluster.exchangeDatagrams = async address => {
            exchanges.count += address === REACHABLE ? 1 : 0;
            return address === REACHABLE ? { kind: "answered", heartbeat } : { kind: "unanswered" };
        };
        const end = new AbortController();
        this.cleanups.push(() => end.abort());
        runPeers(cluster, end.signal, { pause: clock.pause });
        this.notes.set("exchanges", exchanges);
        for (let number = 1; number < count; number++) {
            cluster.addPeer(`127.0.0.1:${number + 1}`, `unreachable-${number}`);
        }
        cluster.addPeer(REACHABLE, "reachable");
        await waitForExchange(this, 0, FIRST_ANSWER_TIMEOUT_MS);
    },
);

When("the reachable peer becomes the owner", function(this: TestWorld) {
    const { cluster, count } = this.note<Exchanges>("exchanges");
    this.notes.set("earlierExchanges", count);
    updateOwner(cluster, { node: "reachable", address: REACHABLE, revision: 1 });
});

Then(
    "the daemon exchanges heartbeats with it within {int} second",
    async function(this: TestWorld, seconds: number) {
        await waitForExchange(this, this.note("earlierExchanges"), seconds * MS_PER_SECOND);
    },
);
