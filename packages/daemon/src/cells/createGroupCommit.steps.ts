import { Then, When } from "@cucumber/cucumber";
import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { createGroupCommit } from "./createGroupCommit.js";

const SEED = 20_261_204;
const MAX_TURNS = 6;

type WriteStatistics = { overlaps: number; writes: number; missed: number };

When(
    "{int} callers commit at random times while writes take random times",
    async function(this: TestWorld, callers: number) {
        const random = xoroshiro128plus(SEED);
        const waitTurns = async (count: number) => {
            for (let turn = 0; turn < count; turn++) {
                await Promise.resolve();
            }
        };
        const statistics: WriteStatistics = { overlaps: 0, writes: 0, missed: 0 };
        let change = 0;
        let writtenChange = 0;
        let activeWrites = 0;
        const groupCommit = createGroupCommit<never>(async () => {
            statistics.writes += 1;
            activeWrites += 1;
            statistics.overlaps += activeWrites > 1 ? 1 : 0;
            const capturedChange = change;
            await waitTurns(uniformInt(random, 1, MAX_TURNS));
            writtenChange = capturedChange;
            activeWrites -= 1;
            return ok(undefined);
        });
        const commits: Promise<void>[] = [];
        for (let caller = 0; caller < callers; caller++) {
            change += 1;
            const ownChange = change;
            commits.push(
                groupCommit.commit().then(() => {
                    statistics.missed += writtenChange < ownChange ? 1 : 0;
                }),
            );
            await waitTurns(uniformInt(random, 0, MAX_TURNS));
        }
        await Promise.all(commits);
        this.notes.set("statistics", statistics);
        this.notes.set("callers", callers);
    },
);

Then("no two writes overlap", function(this: TestWorld) {
    assert.equal(this.note<WriteStatistics>("statistics").overlaps, 0);
});

Then("each caller's change is in a write that began after its call", function(this: TestWorld) {
    assert.equal(this.note<WriteStatistics>("statistics").missed, 0);
});

Then("there are fewer writes than callers", function(this: TestWorld) {
    assert.ok(this.note<WriteStatistics>("statistics").writes < this.note<number>("callers"));
});
