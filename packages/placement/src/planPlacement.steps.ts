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
    GuaranteeUnit,
    Placement,
    PlacementError,
    Plan,
} from "./index.js";
import {
    bindGuarantees,
    createCell,
    findShortfalls,
    occupyCell,
    planPlacement,
    releaseCell,
    setWorkerHealth,
} from "./index.js";

const SEED = 20_261_204;
const RACKS = 3;
const WORKERS_PER_RACK = 4;

type Step =
    | {
        readonly kind: "submit";
        readonly customer: string;
        readonly shape: GangShape;
        readonly urgency: number;
    }
    | { readonly kind: "end"; readonly pick: number }
    | { readonly kind: "fail"; readonly worker: number }
    | { readonly kind: "return"; readonly worker: number };

/** What is wrong after a step, by the check that found it. */
type Findings = {
    readonly doubled: string[];
    readonly slots: string[];
    readonly reclaims: string[];
    readonly shortfalls: string[];
};

const shapes = fc.record({
    members: fc.integer({ min: 1, max: 6 }),
    acceleratorsPerMember: fc.constantFrom(1, 2, 4, 8),
    adjacency: fc.constantFrom(Adjacency.WORKER, Adjacency.RACK, Adjacency.DATA_CENTRE),
});
const customers = fc.constantFrom("a", "b", "c");
const steps: fc.Arbitrary<Step> = fc.oneof(
    {
        weight: 6,
        arbitrary: fc.record({
            kind: fc.constant("submit" as const),
            customer: customers,
            shape: shapes,
            urgency: fc.integer({ min: 1, max: 4 }),
        }),
    },
    { weight: 3, arbitrary: fc.record({ kind: fc.constant("end" as const), pick: fc.nat(50) }) },
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
    "{int} random sequences of submissions, ends, worker failures and returns are run",
    function(this: TestWorld, runs: number) {
        const findings: Findings = { doubled: [], slots: [], reclaims: [], shortfalls: [] };
        this.notes.set("findings", findings);
        fc.assert(
            fc.property(
                fc.array(steps, { minLength: 5, maxLength: 60 }),
                sequence => runSequence(sequence, findings),
            ),
            { seed: SEED, numRuns: runs },
        );
    },
);

Then("after every step no accelerator is held twice", function(this: TestWorld) {
    expectNone(this.note<Findings>("findings").doubled);
});

Then(
    "after every step the slots of guarantees are apart, and healthy or reported as short",
    function(this: TestWorld) {
        expectNone(this.note<Findings>("findings").slots);
    },
);

Then(
    "after every step each guarantee with a slot is reclaimed from borrowers alone",
    function(this: TestWorld) {
        expectNone(this.note<Findings>("findings").reclaims);
    },
);

Then("while every worker is healthy no guarantee is short", function(this: TestWorld) {
    expectNone(this.note<Findings>("findings").shortfalls);
});

Given(
    "a cell of {int} workers with {int} accelerators and a guarantee of 1 worker for {string}",
    function(this: TestWorld, workers: number, accelerators: number, customer: string) {
        const shape = { members: 1, acceleratorsPerMember: accelerators, adjacency: Adjacency.WORKER };
        const cell = createCell(composeWorkers(workers, accelerators), {
            units: [composeUnit(customer, "own", shape)],
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
    "{string} asks for 1 worker at urgency {int}",
    function(this: TestWorld, customer: string, urgency: number) {
        const shape = { members: 1, acceleratorsPerMember: 8, adjacency: Adjacency.WORKER };
        this.notes.set(
            "plan",
            planPlacement(this.note<Cell>("cell"), composeCandidate("job-2", customer, shape, urgency)),
        );
    },
);

When("gangs of many shapes are placed", function(this: TestWorld) {
    const wanted: readonly GangShape[] = [
        { members: 1, acceleratorsPerMember: 2, adjacency: Adjacency.WORKER },
        { members: 1, acceleratorsPerMember: 4, adjacency: Adjacency.WORKER },
        { members: 3, acceleratorsPerMember: 8, adjacency: Adjacency.RACK },
        { members: 2, acceleratorsPerMember: 1, adjacency: Adjacency.RACK },
        { members: 10, acceleratorsPerMember: 8, adjacency: Adjacency.DATA_CENTRE },
    ];
    this.notes.set("placements", wanted.map((shape, index) => submit(this, "b", shape, 1 + index % 2)));
});

Then("the last plan is refused with {string}", function(this: TestWorld, kind: string) {
    assert.equal(this.note<Result<Plan, PlacementError>>("plan")._unsafeUnwrapErr().kind, kind);
});

Then("the last plan stops {string}", function(this: TestWorld, job: string) {
    assert.deepEqual(this.note<Result<Plan, PlacementError>>("plan")._unsafeUnwrap().victims, [job]);
});

Then("the placements are as in their snapshot", function(this: TestWorld) {
    this.expectSnapshot(this.note("placements"));
});

function expectNone(findings: readonly string[]): void {
    assert.ok(findings.length === 0, `${findings.length} findings, the first: ${findings[0]}`);
}

function submit(world: TestWorld, customer: string, shape: GangShape, urgency: number): Placement | string {
    const cell = world.note<Cell>("cell");
    const candidate = composeCandidate(`job-${cell.holdings.size + 1}`, customer, shape, urgency);
    const plan = planPlacement(cell, candidate);
    if (plan.isErr()) {
        return plan.error.kind;
    }
    occupyCell(cell, { ...candidate, ...plan.value });
    return plan.value.placement;
}

function runSequence(sequence: readonly Step[], findings: Findings): void {
    const cell = createCell(composeWorkers(RACKS * WORKERS_PER_RACK, 8), {
        units: [
            composeUnit("a", "wide", { members: 4, acceleratorsPerMember: 8, adjacency: Adjacency.RACK }),
            composeUnit("b", "pair", { members: 2, acceleratorsPerMember: 4, adjacency: Adjacency.WORKER }),
            composeUnit("c", "loose", {
                members: 3,
                acceleratorsPerMember: 4,
                adjacency: Adjacency.DATA_CENTRE,
            }),
        ],
    });
    bindGuarantees(cell);
    sequence.forEach((step, index) => {
        applyStep(cell, step, index);
        inspect(cell, findings);
    });
}

function applyStep(cell: Cell, step: Step, index: number): void {
    switch (step.kind) {
        case "submit": {
            const candidate = composeCandidate(`job-${index}`, step.customer, step.shape, step.urgency);
            planPlacement(cell, candidate).map(plan => {
                plan.victims.forEach(victim => releaseCell(cell, victim));
                occupyCell(cell, { ...candidate, ...plan });
            });
            return;
        }
        case "end": {
            const jobs = [...cell.holdings.keys()];
            if (jobs.length > 0) {
                releaseCell(cell, jobs[step.pick % jobs.length]!);
            }
            return;
        }
        case "fail":
        case "return": {
            const { id } = cell.topology.workers[step.worker]!;
            setWorkerHealth(cell, id, step.kind === "return").forEach(job => releaseCell(cell, job));
            return;
        }
        default:
            step satisfies never;
    }
}

function inspect(cell: Cell, findings: Findings): void {
    const holdings = [...cell.holdings.values()];
    if (overlaps(holdings.map(holding => holding.placement))) {
        findings.doubled.push(describe(cell));
    }
    const slots = cell.bindings.flatMap(binding => binding.slot === undefined ? [] : [binding.slot]);
    const short = findShortfalls(cell);
    const hidden = cell.bindings.some(binding =>
        isDamaged(cell, binding.slot ?? []) && !short.includes(binding)
    );
    const unusable = cell.bindings.some(binding =>
        binding.user === undefined && isDamaged(cell, binding.slot ?? [])
    );
    if (overlaps(slots) || hidden || unusable) {
        findings.slots.push(describe(cell));
    }
    for (const { unit, user, slot } of cell.bindings) {
        if (user !== undefined || slot === undefined) {
            continue;
        }
        const plan = planPlacement(cell, {
            ...composeCandidate("reclaim", unit.customer, unit.shape, 1),
            preemptible: false,
        });
        const fair = plan.isOk()
            && plan.value.victims.every(victim => cell.holdings.get(victim)!.standing.kind === "borrowed");
        if (!fair) {
            findings.reclaims.push(describe(cell));
        }
    }
    if (cell.healthy.every(mask => mask !== 0) && findShortfalls(cell).length > 0) {
        findings.shortfalls.push(describe(cell));
    }
}

function isDamaged(cell: Cell, slot: Placement): boolean {
    return slot.some(placed =>
        (placed.accelerators & ~cell.healthy[cell.workerIndex.get(placed.worker)!]!) !== 0
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
        holdings: [...cell.holdings.values()],
        bindings: cell.bindings,
        healthy: [...cell.healthy],
    });
}

function composeWorkers(count: number, accelerators: number): readonly CellWorker[] {
    return Array.from({ length: count }, (_, index) => ({
        id: `w${index}` as WorkerId,
        rack: Math.floor(index / WORKERS_PER_RACK),
        accelerators,
    }));
}

function composeUnit(customer: string, guarantee: string, shape: GangShape): GuaranteeUnit {
    return { customer: customer as CustomerId, guarantee: guarantee as GuaranteeId, ordinal: 0, shape };
}

function composeCandidate(job: string, customer: string, shape: GangShape, urgency: number): Candidate {
    return { job: job as JobId, customer: customer as CustomerId, shape, urgency, preemptible: true };
}
