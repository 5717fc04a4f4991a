import { Adjacency } from "@balsamward/schema";
import type { Candidate } from "../Candidate.js";
import type { Cell, GuaranteeBinding } from "../Cell.js";
import { countAccelerators } from "../countAccelerators.js";
import type { PlacementError } from "../PlacementError.js";
import { countCapacity, freeCapacity } from "./capacities.js";

/**
 * Creates the error for a job that cannot be placed now.
 *
 * @param cell - The cell.
 * @param candidate - The job.
 * @param binding - The unused guarantee that fits the job, if there is one.
 * @returns The constraint that prevents the placement, with a message that says when it ends.
 */
export function createPlacementError(
    cell: Cell,
    candidate: Candidate,
    binding: GuaranteeBinding | undefined,
): PlacementError {
    if (!candidate.preemptible) {
        return binding === undefined
            ? {
                kind: "guarantee-in-use",
                message:
                    "Every guarantee that fits the job is in use. The job starts when a guaranteed job of the customer ends.",
            }
            : {
                kind: "guarantee-short",
                message:
                    "The healthy workers cannot hold the guarantee. The job starts when unhealthy workers recover.",
            };
    }
    const total = countAccelerators(candidate.shape);
    const free = countCapacity(freeCapacity(cell));
    return free < total
        ? {
            kind: "no-free-accelerators",
            message:
                `The job needs ${total} accelerators, but only ${free} are free. It starts when other jobs end.`,
        }
        : {
            kind: "no-adjacent-accelerators",
            message: `${free} accelerators are free, but not enough of them are adjacent within one `
                + `${adjacencyText(candidate.shape.adjacency)}. The job starts when neighbouring jobs end.`,
        };
}

function adjacencyText(adjacency: Adjacency): string {
    return Adjacency[adjacency].toLowerCase().replaceAll("_", " ");
}
