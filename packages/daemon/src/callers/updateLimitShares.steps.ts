import type { NodeId } from "@balsamward/schema";
import { DocumentSchema, MemberSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { Given, Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { ActiveConfiguration } from "../_lib/ActiveConfiguration.js";
import type { DaemonState } from "../DaemonState.js";
import { createMembership } from "../peers/Membership.js";
import { updateLimitShares } from "./updateLimitShares.js";

Given(
    "a kind with a concurrency limit of {int} and a rate limit of {int} a second",
    function(this: TestWorld, concurrency: number, ratePerSecond: number) {
        const document = create(DocumentSchema, { kind: { walk: { concurrency, ratePerSecond } } });
        const state: Partial<DaemonState> = {
            membership: createMembership(() => 0),
            kindControls: new Map(),
            activeConfiguration: { document } as ActiveConfiguration,
        };
        this.notes.set("state", state);
    },
);

Then(
    /^with (\d+) daemons? each admits (\d+) at once$/,
    function(this: TestWorld, daemons: string, expected: string) {
        const state = this.note<DaemonState>("state");
        state.membership.members.clear();
        for (let index = 0; index < Number(daemons); index++) {
            state.membership.members.set(`entry-${index}` as NodeId, create(MemberSchema));
        }
        state.kindControls.clear();
        updateLimitShares(state);
        const { limiter } = state.kindControls.get("walk")!;
        let count = 0;
        while (limiter.admit().isOk()) {
            count += 1;
        }
        assert.equal(count, Number(expected));
    },
);
