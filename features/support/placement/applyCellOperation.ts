import type { Cell } from "../../../packages/placement/src/index.js";
import {
    planPlacement,
    recordAllocation,
    releaseAllocation,
    setWorkerHealth,
} from "../../../packages/placement/src/index.js";
import type { CellOperation } from "./CellOperation.js";
import { createCandidate } from "./createTestCell.js";

/**
 * Applies an operation to a cell as the owner of a cell does.
 *
 * @param cell - The cell, which is changed.
 * @param operation - The operation; a submission that is refused changes nothing.
 * @param index - Position of the operation in its sequence, from which the id of a submitted job is made.
 */
export function applyCellOperation(cell: Cell, operation: CellOperation, index: number): void {
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
