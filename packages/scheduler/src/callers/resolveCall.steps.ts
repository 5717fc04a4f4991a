import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { Cluster } from "../cluster/Cluster.js";
import type { FleetConfiguration } from "../FleetConfiguration.js";
import type { QueueName } from "../ids.js";
import { resolveCall } from "./resolveCall.js";

function createConfiguration(): FleetConfiguration {
    const queue = {
        service: "service",
        priority: 0,
        attempts: 2,
        stretch: 2,
        objectiveMs: 100,
        advice: undefined,
    };
    return {
        version: 1,
        queues: [
            { ...queue, name: "short" as QueueName, host: "a", prefix: "/x/", open: false },
            { ...queue, name: "long" as QueueName, host: "a", prefix: "/x/y/", open: false },
            { ...queue, name: "open" as QueueName, host: "b", prefix: "/x/", open: true },
        ],
        customers: [{ name: "ana", keys: ["k1", "k2"], guaranteedAccelerators: 0 }],
        services: [],
        maxBodyBytes: 1_000,
    };
}

/** Returns the name of the queue or the reason of the refusal; the key `none` stands for a call without a key. */
function resolveWithAge(
    { host, path, key }: { host: string; path: string; key: string },
    configurationAgeMs: number,
): string {
    const call = { host, path, key: key === "none" ? undefined : key };
    const resolved = resolveCall(createConfiguration(), call, { configurationAgeMs });
    return resolved.isOk() ? resolved.value.queue.name : resolved.error.reason;
}

Then(
    "a call to host {word} and path {word} with key {word} resolves to {word}",
    function(this: TestWorld, host: string, path: string, key: string, answer: string) {
        assert.equal(resolveWithAge({ host, path, key }, 0), answer);
    },
);

Then(
    "a call to host {word} and path {word} with key {word} by an old configuration resolves to {word}",
    function(this: TestWorld, host: string, path: string, key: string, answer: string) {
        assert.equal(resolveWithAge({ host, path, key }, Number.POSITIVE_INFINITY), answer);
    },
);

Then(
    "a call for a queue that is not configured is refused with {word}",
    function(this: TestWorld, answer: string) {
        const { configuration } = this.note<Cluster>("cluster");
        const resolved = resolveCall(configuration.current(), { host: "a", path: "/x/", key: "k1" }, {
            configurationAgeMs: configuration.getAgeMs(),
        });
        assert.equal(resolved._unsafeUnwrapErr().reason, answer);
    },
);

Then(
    "a call before a configuration is loaded is refused with {word}",
    function(this: TestWorld, answer: string) {
        const resolved = resolveCall(undefined, { host: "a", path: "/x/", key: "k1" }, {
            configurationAgeMs: Number.POSITIVE_INFINITY,
        });
        assert.equal(resolved._unsafeUnwrapErr().reason, answer);
    },
);
