import { Given, Then, When } from "@cucumber/cucumber";
import { setTimeout as sleep } from "node:timers/promises";
import { createTestCluster } from "../../../../features/support/createTestCluster.js";
import { findFreeAddress } from "../../../../features/support/findFreeAddress.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster } from "./Cluster.js";
import { updateOwner } from "./Cluster.js";
import { runPeers } from "./runPeers.js";
import { serveCluster } from "./serveCluster.js";

const MS_PER_SECOND = 1_000;
const POLL_INTERVAL_MS = 10;
const FIRST_ANSWER_TIMEOUT_MS = 5_000;

/** Waits until the daemon has heard from the peer again. */
async function waitForContact(world: TestWorld, timeoutMs: number): Promise<void> {
    const peer = world.note<Cluster>("cluster").peers.get(world.note("peerAddress"))!;
    const before = peer.lastContactAt;
    const deadline = performance.now() + timeoutMs;
    while (peer.lastContactAt === before) {
        if (performance.now() > deadline) {
            throw new Error(`The peer is not heard from within ${timeoutMs} ms.`);
        }
        await sleep(POLL_INTERVAL_MS);
    }
}

Given(
    "a daemon with {int} peers, of which one is reachable and has answered",
    async function(this: TestWorld, count: number) {
        const peer = createTestCluster("peer", await findFreeAddress());
        const store = new FakeFleetStore(() => 0).createClient();
        const listener = await serveCluster(
            { cluster: peer, store, localOwner: () => undefined },
            peer.address,
        );
        const cluster = createTestCluster("here", "127.0.0.1:1");
        const end = new AbortController();
        runPeers(cluster, end.signal);
        this.cleanups.push(async () => {
            end.abort();
            await listener.close();
        });
        this.notes.set("cluster", cluster);
        this.notes.set("peerAddress", peer.address);
        for (let number = 1; number < count; number++) {
            cluster.addPeer(`127.0.0.1:${number + 1}`, `unreachable-${number}`);
        }
        cluster.addPeer(peer.address, peer.node);
        await waitForContact(this, FIRST_ANSWER_TIMEOUT_MS);
    },
);

When("the reachable peer becomes the owner", function(this: TestWorld) {
    updateOwner(this.note("cluster"), { node: "peer", address: this.note("peerAddress"), revision: 1 });
});

Then(
    "the daemon exchanges heartbeats with it within {int} second",
    async function(this: TestWorld, seconds: number) {
        await waitForContact(this, seconds * MS_PER_SECOND);
    },
);
