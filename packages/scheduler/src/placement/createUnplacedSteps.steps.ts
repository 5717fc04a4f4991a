import { JobSchema, StepSchema } from "@balsamward/schema/scheduling";
import type { Step } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { WorkerId } from "../ids.js";
import { createJobEntry } from "../state/createJobEntry.js";
import type { StepEntry } from "../state/JobEntry.js";
import type { ResourceAmounts } from "../state/ResourceAmounts.js";
import { RESOURCE_KINDS } from "../state/ResourceAmounts.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { createWorkerEntry } from "../state/WorkerEntry.js";
import { applyTaskRequest } from "./applyTaskRequest.js";
import type { Assignment } from "./countFittingTasks.js";
import { createUnplacedSteps } from "./createUnplacedSteps.js";
import { createWorkerGroups } from "./createWorkerGroups.js";
import { getPlacementScope } from "./getPlacementScope.js";
import { placeGang } from "./placeGang.js";
import { placeTasks } from "./placeTasks.js";

const SEED = 11;
const WORKERS_PER_RACK = 3;
const CAPACITY: ResourceAmounts = { cpuMillis: 8_000, memoryMb: 8_000, accelerators: 8 };

/** Free amounts are negative on a worker whose capacity has shrunk below what its runs need. */
const freeArbitrary = fc.record({
    cpuMillis: fc.integer({ min: -CAPACITY.cpuMillis, max: CAPACITY.cpuMillis }),
    memoryMb: fc.integer({ min: -CAPACITY.memoryMb, max: CAPACITY.memoryMb }),
    accelerators: fc.integer({ min: -CAPACITY.accelerators, max: CAPACITY.accelerators }),
});

/** Creates amounts up to a maximum, of which many are zero. */
function createAmountArbitrary(max: number): fc.Arbitrary<number> {
    return fc.oneof(fc.constant(0), fc.integer({ min: 0, max }));
}

const amountsArbitrary = fc.record({
    cpuMillis: createAmountArbitrary(CAPACITY.cpuMillis),
    memoryMb: createAmountArbitrary(CAPACITY.memoryMb),
    accelerators: createAmountArbitrary(CAPACITY.accelerators),
});

const stepArbitrary = fc.record({
    request: amountsArbitrary,
    taskCount: fc.integer({ min: 1, max: 6 }),
    gang: fc.boolean(),
    sameRack: fc.boolean(),
    fillsIdle: fc.boolean(),
}).map(step => create(StepSchema, step));

function createWorker(free: ResourceAmounts, number: number): WorkerEntry {
    const wakeSignal = { notify: () => {}, wait: async () => {} };
    const worker = createWorkerEntry(`w${number}` as WorkerId, "", wakeSignal, 0);
    worker.service = "service";
    worker.rack = `r${Math.floor(number / WORKERS_PER_RACK)}`;
    for (const kind of RESOURCE_KINDS) {
        worker.free[kind] = free[kind];
        worker.capacity[kind] = CAPACITY[kind];
    }
    return worker;
}

function createStepEntry(step: Step): StepEntry {
    return createJobEntry(create(JobSchema, { steps: [step] }), 1, 0).occurrences.get(0)![0]!;
}

function checkCoveredSteps(frees: readonly ResourceAmounts[], steps: readonly Step[]): void {
    const workers = frees.map(createWorker);
    const group = createWorkerGroups(workers, workers).get("service", "");
    const unplaced = createUnplacedSteps();
    for (const step of steps) {
        const entry = createStepEntry(step);
        const scope = getPlacementScope(group, step);
        const assignments: readonly Assignment[] = step.gang
            ? placeGang(entry, workers, scope === "rack") ?? []
            : placeTasks(entry, entry.tasks, workers);
        if (unplaced.covers(group.key, step, scope)) {
            assert.deepEqual(assignments, []);
        }
        assignments.forEach(({ worker }) => applyTaskRequest(worker.free, step, -1));
        if (assignments.length < step.taskCount) {
            unplaced.add(group.key, step, scope);
        }
    }
}

Then("a covered step fits nowhere, for random fleets and steps", () => {
    const frees = fc.array(freeArbitrary, { minLength: 1, maxLength: 8 });
    const steps = fc.array(stepArbitrary, { minLength: 2, maxLength: 30 });
    fc.assert(fc.property(frees, steps, checkCoveredSteps), { seed: SEED, numRuns: 500 });
});

Given("a full fleet of {int} workers", function(this: TestWorld, count: number) {
    const full = { cpuMillis: 0, memoryMb: 0, accelerators: 0 };
    this.notes.set("workers", Array.from({ length: count }, (_, number) => createWorker(full, number)));
});

When("{int} random steps are checked against the record", function(this: TestWorld, count: number) {
    const workers = this.note<readonly WorkerEntry[]>("workers");
    const group = createWorkerGroups(workers, workers).get("service", "");
    const unplaced = createUnplacedSteps();
    const steps = fc.sample(stepArbitrary.filter(({ request }) => request!.accelerators > 0), {
        seed: SEED,
        numRuns: count,
    });
    const searched = steps.filter(step => {
        const scope = getPlacementScope(group, step);
        const isCovered = unplaced.covers(group.key, step, scope);
        if (!isCovered) {
            unplaced.add(group.key, step, scope);
        }
        return !isCovered;
    });
    this.notes.set("searched", searched.length);
});

Then("at most {int} of them are searched for room", function(this: TestWorld, limit: number) {
    const searched = this.note<number>("searched");
    assert.ok(searched <= limit, `${searched} steps were searched for room.`);
});
