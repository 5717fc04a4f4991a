import { Then, When } from "@cucumber/cucumber";
import { ok } from "neverthrow";
import assert from "node:assert/strict";
import { uniformInt } from "pure-rand/distribution/uniformInt";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { createGroupCommit } from "./createGroupCommit.js";

const SEED = 20_261_204;
const LONGEST_TURNS = 6;

type Tally = { overlaps: number; writes: number; missed: number };

When(
    "callers commit at {int} random moments while writes end at others",
    async function(this: TestWorld, callers: number) {
        const random = xoroshiro128plus(SEED);
        const turns = async (count: number) => {
            for (let turn = 0; turn < count; turn++) {
                await Promise.resolve();
            }
        };
        const tally: Tally = { overlaps: 0, writes: 0, missed: 0 };
        let state = 0;
        let written = 0;
        let active = 0;
        const group = createGroupCommit<never>(async () => {
            tally.writes += 1;
            active += 1;
            tally.overlaps += active > 1 ? 1 : 0;
            const seen = state;
            await turns(uniformInt(random, 1, LONGEST_TURNS));
            written = seen;
            active -= 1;
            return ok(undefined);
        });
        const all: Promise<void>[] = [];
        for (let caller = 0; caller < callers; caller++) {
            state += 1;
            const own = state;
            all.push(
                group.commit().then(() => {
                    tally.missed += written < own ? 1 : 0;
                }),
            );
            await turns(uniformInt(random, 0, LONGEST_TURNS));
        }
        await Promise.all(all);
        this.notes.set("tally", tally);
        this.notes.set("callers", callers);
    },
);

Then("no two writes overlap", function(this: TestWorld) {
    assert.equal(this.note<Tally>("tally").overlaps, 0);
});

Then("each caller's change is in a write that began after its call", function(this: TestWorld) {
    assert.equal(this.note<Tally>("tally").missed, 0);
});

Then("there are fewer writes than callers", function(this: TestWorld) {
    assert.ok(this.note<Tally>("tally").writes < this.note<number>("callers"));
});
