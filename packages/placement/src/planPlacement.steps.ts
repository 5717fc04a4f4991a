import type { CustomerId, GuaranteeId, JobId, WorkerId } from "@balsamward/schema";
import { Adjacency } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import type { Result } from "neverthrow";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type {
    Candidate,
    Cell,
    CellWorker,
    GangShape,
    GuaranteeBinding,
    GuaranteedGang,
    Placement,
    PlacementError,
    PlacementPlan,
} from "./index.js";
import {
    bindGuarantees,
    createCell,
    findShortfalls,
    planPlacement,
    recordAllocation,
    releaseAllocation,
    setWorkerHealth,
} from "./index.js";

const SEED = 20_261_204;
const RACKS = 3;
const WORKERS_PER_RACK = 4;

type Operation =
    | {
        readonly kind: "submit";
        readonly customer: string;
        readonly shape: GangShape;
        readonly urgency: number;
    }
    | { readonly kind: "end"; readonly choice: number }
    | { readonly kind: "fail"; readonly worker: number }
    | { readonly kind: "return"; readonly worker: number };

/** Descriptions of the cell after operations that violated an invariant, grouped by invariant. */
type Findings = {
    readonly doubleHeld: string[];
    readonly invalidSlots: string[];
    readonly failedReclaims: string[];
    readonly shortfalls: string[];
};

const shapeArbitrary = fc.record({
    members: fc.integer({ min: 1, max: 6 }),
    acceleratorsPerMember: fc.constantFrom(1, 2, 4, 8),
    adjacency: fc.constantFrom(Adjacency.WORKER, Adjacency.RACK, Adjacency.DATA_CENTRE),
});
const customerArbitrary = fc.constantFrom("a", "b", "c");
const operationArbitrary: fc.Arbitrary<Operation> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            customer: customerArbitrary,
            shape: shapeArbitrary,
            urgency: fc.integer({ min: 1, max: 4 }),
        }),
    },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("end" as const), choice: fc.nat(50) }) },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("fail" as const),
            worker: fc.nat(RACKS * WORKERS_PER_RACK - 1),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("return" as const),
            worker: fc.nat(RACKS * WORKERS_PER_RACK - 1),
        }),
    },
);

When(
    "{int} random sequences of submissions, job ends, worker failures and recoveries are run",
    function(this: TestWorld, runs: number) {
        const findings: Findings = { doubleHeld: [], invalidSlots: [], failedReclaims: [], shortfalls: [] };
        this.notes.set("findings", findings);
        fc.assert(
            fc.property(
                fc.array(operationArbitrary, { minLength: 5, maxLength: 60 }),
                sequence => runSequence(sequence, findings),
            ),
            { seed: SEED, numRuns: runs },
        );
    },
);

Then("after every operation no accelerator is held by two jobs", function(this: TestWorld) {
    assertNone(this.note<Findings>("findings").doubleHeld);
});

Then(
    "after every operation the guarantee slots do not overlap, and each is healthy or reported as a shortfall",
    function(this: TestWorld) {
        assertNone(this.note<Findings>("findings").invalidSlots);
    },
);

Then(
    "after every operation each unused guarantee with a slot can be reclaimed from borrowing jobs only",
    function(this: TestWorld) {
        assertNone(this.note<Findings>("findings").failedReclaims);
    },
);

Then("while every worker is healthy no guarantee has a shortfall", function(this: TestWorld) {
    assertNone(this.note<Findings>("findings").shortfalls);
});

Given(
    "a cell of {int} workers with {int} accelerators and a guarantee of 1 worker for {string}",
    function(this: TestWorld, workers: number, accelerators: number, customer: string) {
        const shape = { members: 1, acceleratorsPerMember: accelerators, adjacency: Adjacency.WORKER };
        const cell = createCell(createWorkers(workers, accelerators), {
            guaranteedGangs: [createGuaranteedGang(customer, "own", shape)],
        });
        bindGuarantees(cell);
        this.notes.set("cell", cell);
    },
);

When(
    "{string} borrows {int} workers at urgency {int}",
    function(this: TestWorld, customer: string, workers: number, urgency: number) {
        submit(
            this,
            customer,
            { members: workers, acceleratorsPerMember: 8, adjacency: Adjacency.RACK },
            urgency,
        );
    },
);

When(
    "{string} requests 1 worker at urgency {int}",
    function(this: TestWorld, customer: string, urgency: number) {
        const shape = { members: 1, acceleratorsPerMember: 8, adjacency: Adjacency.WORKER };
        this.notes.set(
            "plan",
            planPlacement(this.note<Cell>("cell"), createCandidate("job-2", customer, shape, urgency)),
        );
    },
);

When("gangs of several shapes are placed", function(this: TestWorld) {
    const requestedShapes: readonly GangShape[] = [
        { members: 1, acceleratorsPerMember: 2, adjacency: Adjacency.WORKER },
        { members: 1, acceleratorsPerMember: 4, adjacency: Adjacency.WORKER },
        { members: 3, acceleratorsPerMember: 8, adjacency: Adjacency.RACK },
        { members: 2, acceleratorsPerMember: 1, adjacency: Adjacency.RACK },
        { members: 10, acceleratorsPerMember: 8, adjacency: Adjacency.DATA_CENTRE },
    ];
    this.notes.set(
        "placements",
        requestedShapes.map((shape, index) => submit(this, "b", shape, 1 + index % 2)),
    );
});

Then("the placement plan is refused with {string}", function(this: TestWorld, kind: string) {
    assert.equal(this.note<Result<PlacementPlan, PlacementError>>("plan")._unsafeUnwrapErr().kind, kind);
});

Then("the placement plan preempts {string}", function(this: TestWorld, job: string) {
    assert.deepEqual(this.note<Result<PlacementPlan, PlacementError>>("plan")._unsafeUnwrap().victims, [job]);
});

Then("the gang placements match the snapshot", function(this: TestWorld) {
    this.expectSnapshot(this.note("placements"));
});

function assertNone(findings: readonly string[]): void {
    assert.ok(
        findings.length === 0,
        `${findings.length} violations found; the first cell is: ${findings[0]}`,
    );
}

function submit(world: TestWorld, customer: string, shape: GangShape, urgency: number): Placement | string {
    const cell = world.note<Cell>("cell");
    const candidate = createCandidate(`job-${cell.allocations.size + 1}`, customer, shape, urgency);
    const plan = planPlacement(cell, candidate);
    if (plan.isErr()) {
        return plan.error.kind;
    }
    recordAllocation(cell, { ...candidate, ...plan.value });
    return plan.value.placement;
}

function runSequence(sequence: readonly Operation[], findings: Findings): void {
    const cell = createCell(createWorkers(RACKS * WORKERS_PER_RACK, 8), {
        guaranteedGangs: [
            createGuaranteedGang("a", "wide", {
                members: 4,
                acceleratorsPerMember: 8,
                adjacency: Adjacency.RACK,
            }),
            createGuaranteedGang("b", "pair", {
                members: 2,
                acceleratorsPerMember: 4,
                adjacency: Adjacency.WORKER,
            }),
            createGuaranteedGang("c", "loose", {
                members: 3,
                acceleratorsPerMember: 4,
                adjacency: Adjacency.DATA_CENTRE,
            }),
        ],
    });
    bindGuarantees(cell);
    sequence.forEach((operation, index) => {
        applyOperation(cell, operation, index);
        checkInvariants(cell, findings);
    });
}

function applyOperation(cell: Cell, operation: Operation, index: number): void {
    switch (operation.kind) {
        case "submit": {
            const candidate = createCandidate(
                `job-${index}`,
                operation.customer,
                operation.shape,
                operation.urgency,
            );
            planPlacement(cell, candidate).map(plan => {
                plan.victims.forEach(victim => releaseAllocation(cell, victim));
                recordAllocation(cell, { ...candidate, ...plan });
            });
            return;
        }
        case "end": {
            const jobs = [...cell.allocations.keys()];
            if (jobs.length > 0) {
                releaseAllocation(cell, jobs[operation.choice % jobs.length]!);
            }
            return;
        }
        case "fail":
        case "return": {
            const { id } = cell.topology.workers[operation.worker]!;
            setWorkerHealth(cell, id, operation.kind === "return").forEach(job =>
                releaseAllocation(cell, job)
            );
            return;
        }
        default:
            operation satisfies never;
    }
}

function checkInvariants(cell: Cell, findings: Findings): void {
    if (overlaps([...cell.allocations.values()].map(allocation => allocation.placement))) {
        findings.doubleHeld.push(describe(cell));
    }
    if (hasInvalidSlot(cell)) {
        findings.invalidSlots.push(describe(cell));
    }
    const unreclaimable = cell.bindings.filter(binding =>
        isUnusedWithSlot(binding) && !isReclaimable(cell, binding)
    );
    findings.failedReclaims.push(...unreclaimable.map(() => describe(cell)));
    if (cell.healthyAccelerators.every(mask => mask !== 0) && findShortfalls(cell).length > 0) {
        findings.shortfalls.push(describe(cell));
    }
}

/** Returns whether slots overlap, or a slot with an unhealthy worker is unused or not reported as a shortfall. */
function hasInvalidSlot(cell: Cell): boolean {
    const slots = cell.bindings.flatMap(binding => binding.slot === undefined ? [] : [binding.slot]);
    const shortfalls = findShortfalls(cell);
    const damaged = cell.bindings.filter(binding => isDamaged(cell, binding.slot ?? []));
    return overlaps(slots)
        || damaged.some(binding => binding.job === undefined || !shortfalls.includes(binding));
}

/** Returns whether no job uses a guarantee that has a slot. */
function isUnusedWithSlot(binding: GuaranteeBinding): boolean {
    return binding.job === undefined && binding.slot !== undefined;
}

/** Returns whether a guarantee can be used at once by preempting borrowing jobs only. */
function isReclaimable(cell: Cell, { gang }: GuaranteeBinding): boolean {
    const candidate = createCandidate("reclaim", gang.customer, gang.shape, 1);
    const plan = planPlacement(cell, { ...candidate, preemptible: false });
    return plan.isOk()
        && plan.value.victims.every(victim => cell.allocations.get(victim)!.standing.kind === "borrowed");
}

function isDamaged(cell: Cell, slot: Placement): boolean {
    return slot.some(placed =>
        (placed.accelerators & ~cell.healthyAccelerators[cell.workerIndex.get(placed.worker)!]!) !== 0
    );
}

function overlaps(placements: readonly Placement[]): boolean {
    const taken = new Map<WorkerId, number>();
    return placements.flat().some(placed => {
        const mask = taken.get(placed.worker) ?? 0;
        taken.set(placed.worker, mask | placed.accelerators);
        return (mask & placed.accelerators) !== 0;
    });
}

function describe(cell: Cell): string {
    return JSON.stringify({
        allocations: [...cell.allocations.values()],
        bindings: cell.bindings,
        healthyAccelerators: [...cell.healthyAccelerators],
    });
}

function createWorkers(count: number, accelerators: number): readonly CellWorker[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `w${index}` as WorkerId,
        rack: Math.floor(index / WORKERS_PER_RACK),
        accelerators,
    }));
}

function createGuaranteedGang(customer: string, guarantee: string, shape: GangShape): GuaranteedGang {
    return { customer: customer as CustomerId, guarantee: guarantee as GuaranteeId, index: 0, shape };
}

function createCandidate(job: string, customer: string, shape: GangShape, urgency: number): Candidate {
    return { job: job as JobId, customer: customer as CustomerId, shape, urgency, preemptible: true };
}
