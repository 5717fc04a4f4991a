import { JobState, ProgressSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { When } from "@cucumber/cucumber";
import { createTestPeer } from "../../../../features/support/createTestPeer.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { FakeFleetStore } from "../../../stand-ins/src/fleet/FakeFleetStore.js";
import type { Cluster, Peer } from "../cluster/Cluster.js";
import { updateOwner } from "../cluster/Cluster.js";
import type { OwnerService } from "../cluster/serveCluster.js";
import { storeKeys } from "../storeKeys.js";
import { JOB_ID } from "./callerFixture.steps.js";

const OWNER_ADDRESS = "10.0.0.2:1";

/** Lets the daemon take a peer for the owner, which answers requests for the state of a job as given. */
function setOwner(world: TestWorld, describeJob: () => Promise<object>, fields: Partial<Peer> = {}): void {
    const cluster = world.note<Cluster>("cluster");
    updateOwner(cluster, { node: "other", address: OWNER_ADDRESS, revision: 1 });
    cluster.peers.set(OWNER_ADDRESS, createTestPeer(OWNER_ADDRESS, { describeJob }, fields));
}

When(
    "the owner knows the job of {word} as {word}",
    function(this: TestWorld, customer: string, state: string) {
        setOwner(this, async () => ({
            owner: true,
            known: true,
            customer,
            state: JobState[state as keyof typeof JobState],
        }));
    },
);

When("the owner does not know the job", function(this: TestWorld) {
    setOwner(this, async () => ({ owner: true, known: false }));
});

When("the owner is no longer the owner", function(this: TestWorld) {
    setOwner(this, async () => ({ owner: false, known: false }));
});

When("the owner does not answer", function(this: TestWorld) {
    setOwner(this, () => Promise.reject(new Error("The call has timed out.")));
});

When("the owner refuses connections", function(this: TestWorld) {
    setOwner(this, () => Promise.reject(new Error("No call is expected.")), { refusedConnections: 1 });
});

When("the owner is a daemon that has left", function(this: TestWorld) {
    updateOwner(this.note<Cluster>("cluster"), { node: "other", address: OWNER_ADDRESS, revision: 1 });
});

When("the daemon becomes the owner and knows no job", function(this: TestWorld) {
    const owner: OwnerService = {
        describeJob: () => undefined,
        addJob: () => {},
        cancelJob: () => {},
        countQueueDepths: () => [],
    };
    this.notes.set("localOwner", owner);
});

When("the progress of the job is stored as {word}", function(this: TestWorld, state: string) {
    const progress = create(ProgressSchema, { state: JobState[state as keyof typeof JobState] });
    this.note<FakeFleetStore>("store").put(storeKeys.progress(JOB_ID), toBinary(ProgressSchema, progress));
});
