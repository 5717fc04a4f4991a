import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import type { FakeClock } from "../../../../features/support/FakeClock.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { Ownership } from "../engine/Scheduler.js";
import type { Cluster, Peer } from "./Cluster.js";
import { computeClaimDelayMs } from "./computeClaimDelayMs.js";
import { shouldHandOver } from "./shouldHandOver.js";

const MS_PER_SECOND = 1_000;
const LARGEST_RANDOM = 1 - Number.EPSILON;

Given("the daemon has a processor of {float} cores", function(this: TestWorld, processorCores: number) {
    Object.assign(this.note<Cluster>("cluster"), { processorCores });
});

Given(
    /^(\d+) peers with a processor of ([\d.]+) cores that (reach|do not reach) the store$/,
    function(this: TestWorld, count: string, cores: string, reaches: string) {
        const { peers } = this.note<Cluster>("cluster");
        for (let number = 0; number < Number(count); number++) {
            const peer = {
                processorCores: Number(cores),
                reachesStore: reaches === "reach",
                leaving: false,
                rank: 0,
                isActive: true,
                failedExchanges: 0,
                refusedConnections: 0,
                lastContactAt: Number.POSITIVE_INFINITY,
                requestExchange: () => {},
            } as unknown as Peer;
            peers.set(`p${number}`, peer);
        }
    },
);

Given("the peers refuse connections", function(this: TestWorld) {
    this.note<Cluster>("cluster").peers.forEach(peer => peer.refusedConnections = 1);
});

Given("the daemon has handed over", function(this: TestWorld) {
    const cluster = this.note<Cluster>("cluster");
    cluster.handedOverAt = cluster.clock();
});

Then(
    "the daemon waits from {int} to {int} ms before it claims the ownership",
    function(this: TestWorld, shortest: number, longest: number) {
        const cluster = this.note<Cluster>("cluster");
        assert.equal(computeClaimDelayMs(cluster, () => 0), shortest);
        assert.equal(Math.round(computeClaimDelayMs(cluster, () => LARGEST_RANDOM)), longest);
    },
);

Then(
    /^the owner (hands|does not hand) over after (\d+) seconds$/,
    function(this: TestWorld, hands: string, seconds: string) {
        const decision = shouldHandOver(this.note("cluster"), Number(seconds) * MS_PER_SECOND);
        assert.equal(decision, hands === "hands");
    },
);

When("the owner's term has lasted {int} seconds", async function(this: TestWorld, seconds: number) {
    await this.note<FakeClock>("clock").advance(seconds * MS_PER_SECOND);
});

Then("the owner's term ends", async function(this: TestWorld) {
    const { signal } = this.note<Ownership>("ownership");
    if (!signal.aborted) {
        await once(signal, "abort");
    }
});
