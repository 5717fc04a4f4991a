import type { CellId, NodeId } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { FakeClock } from "../../../features/support/FakeClock.js";
import { FakeStore } from "../../../features/support/FakeStore.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { HeldLease } from "./index.js";
import { assignCells, holdLease } from "./index.js";

type CellFixture = { readonly cells: readonly CellId[]; readonly members: readonly NodeId[] };

Given("{int} cells and {int} daemons", function(this: TestWorld, cells: number, daemons: number) {
    const fixture: CellFixture = {
        cells: Array.from(
            { length: cells },
            (_, index) => `dc${index % 23}-c${Math.floor(index / 23)}` as CellId,
        ),
        members: Array.from({ length: daemons }, (_, index) => `entry-${index}` as NodeId),
    };
    this.notes.set("fixture", fixture);
});

Given(
    "a lease of {int} ms that is renewed every {int} ms",
    function(this: TestWorld, ttlMs: number, renewalIntervalMs: number) {
        const clock = new FakeClock();
        const memory = new FakeStore(() => clock.now);
        const leases: HeldLease[] = [];
        const end = new AbortController();
        const options = { clock: () => clock.now, pause: clock.pause, ttlMs, renewalIntervalMs };
        void holdLease(memory.createTransport(), lease => leases.push(lease), end.signal, options);
        this.cleanups.push(() => end.abort());
        this.notes.set("clock", clock);
        this.notes.set("leases", leases);
    },
);

When("its holder runs for {int} ms", async function(this: TestWorld, ms: number) {
    await this.note<FakeClock>("clock").advance(ms);
});

When("its holder is paused for {int} ms", function(this: TestWorld, ms: number) {
    this.note<FakeClock>("clock").now += ms;
});

Then("the lease is valid", function(this: TestWorld) {
    const leases = this.note<readonly HeldLease[]>("leases");
    assert.ok(leases.length === 1 && leases[0]!.isValid());
});

Then("the lease is not valid", function(this: TestWorld) {
    assert.ok(!this.note<readonly HeldLease[]>("leases")[0]!.isValid());
});

Then("the holder has a new lease that is valid", function(this: TestWorld) {
    const leases = this.note<readonly HeldLease[]>("leases");
    assert.ok(leases.length === 2 && leases[1]!.isValid() && !leases[0]!.isValid());
});

Then("no daemon owns more than {int} cells", function(this: TestWorld, maxCells: number) {
    const { cells, members } = this.note<CellFixture>("fixture");
    const owners = [...assignCells(cells, members).values()];
    assert.equal(owners.length, cells.length);
    const cellCounts = members.map(member => owners.filter(owner => owner === member).length);
    assert.ok(Math.max(...cellCounts) <= maxCells, `cells per daemon: ${cellCounts.join(", ")}`);
});

Then(
    "the failure of any daemon moves at most {int} cells that it did not own",
    function(this: TestWorld, maxCells: number) {
        const { cells, members } = this.note<CellFixture>("fixture");
        const before = assignCells(cells, members);
        for (const failed of members) {
            const after = assignCells(cells, members.filter(member => member !== failed));
            const moved = cells.filter(cell =>
                before.get(cell) !== failed && before.get(cell) !== after.get(cell)
            );
            assert.ok(moved.length <= maxCells, `the failure of ${failed} moves ${moved.length} cells`);
        }
    },
);

Then("the order of the members does not change the assignment", function(this: TestWorld) {
    const { cells, members } = this.note<CellFixture>("fixture");
    const reversed = assignCells(cells.toReversed(), members.toReversed());
    assert.deepEqual([...reversed].toSorted(), [...assignCells(cells, members)].toSorted());
});
