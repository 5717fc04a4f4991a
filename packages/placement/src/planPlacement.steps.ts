import { Adjacency } from "@balsamward/schema";
import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import type { Result } from "neverthrow";
import assert from "node:assert/strict";
import { applyCellOperation } from "../../../features/support/placement/applyCellOperation.js";
import type { CellOperation } from "../../../features/support/placement/CellOperation.js";
import { cellOperationArbitrary } from "../../../features/support/placement/CellOperation.js";
import type { CellFindings } from "../../../features/support/placement/checkCellInvariants.js";
import { checkCellInvariants } from "../../../features/support/placement/checkCellInvariants.js";
import {
    createCandidate,
    createGuaranteedGang,
    createTestCell,
    createWorkers,
} from "../../../features/support/placement/createTestCell.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";
import type { Cell, GangShape, Placement, PlacementError, PlacementPlan } from "./index.js";
import { bindGuarantees, createCell, planPlacement, recordAllocation } from "./index.js";

const SEED = 20_261_204;

When(
    "{int} random sequences of submissions, job ends, worker failures and recoveries are run",
    function(this: TestWorld, runs: number) {
        const findings: CellFindings = {
            doubleHeld: [],
            invalidSlots: [],
            failedReclaims: [],
            shortfalls: [],
        };
        this.notes.set("findings", findings);
        fc.assert(
            fc.property(
                fc.array(cellOperationArbitrary, { minLength: 5, maxLength: 60 }),
                sequence => runSequence(sequence, findings),
            ),
            { seed: SEED, numRuns: runs },
        );
    },
);

Then("after every operation no accelerator is held by two jobs", function(this: TestWorld) {
    assertNone(this.note<CellFindings>("findings").doubleHeld);
});

Then(
    "after every operation the guarantee slots do not overlap, and each is healthy or reported as a shortfall",
    function(this: TestWorld) {
        assertNone(this.note<CellFindings>("findings").invalidSlots);
    },
);

Then(
    "after every operation each unused guarantee with a slot can be reclaimed from borrowing jobs only",
    function(this: TestWorld) {
        assertNone(this.note<CellFindings>("findings").failedReclaims);
    },
);

Then("while every worker is healthy no guarantee has a shortfall", function(this: TestWorld) {
    assertNone(this.note<CellFindings>("findings").shortfalls);
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

function runSequence(sequence: readonly CellOperation[], findings: CellFindings): void {
    const cell = createTestCell();
    sequence.forEach((operation, index) => {
        applyCellOperation(cell, operation, index);
        checkCellInvariants(cell, findings);
    });
}
