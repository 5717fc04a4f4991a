import type { CellId, CustomerId, Document, GuaranteeId } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { reclaimableCapacity, subtractPlacement } from "./_lib/capacities.js";
import { compareShapes } from "./bindGuarantees.js";
import { createCell } from "./Cell.js";
import { findPlacement } from "./findPlacement.js";
import type { GuaranteeUnit } from "./GuaranteeUnit.js";
import { nominalCells } from "./nominalCells.js";

/** Guarantees of a document that the stated fleet cannot hold at once. */
export type UnpackableGuarantee = {
    readonly kind: "unpackable-guarantee";
    readonly customer: CustomerId;
    readonly guarantee: GuaranteeId;
    /** Number of the guarantee's gangs that do not fit. */
    readonly gangs: number;
    readonly message: string;
};

/** The guaranteed gangs of each cell. */
export type GuaranteeDivision = ReadonlyMap<CellId, readonly GuaranteeUnit[]>;

/**
 * Divides the guarantees of a document over the cells of its fleet.
 *
 * The division depends on the document alone, so that every daemon arrives at the same one
 * without asking another. The largest gangs are packed first, each into the first cell that holds it.
 *
 * @param document - The document.
 * @returns The gangs of each cell, or every guarantee that does not fit.
 *
 * @example
 * divideGuarantees(document).map(division => division.get(cell));
 */
export function divideGuarantees(
    document: Document,
): Result<GuaranteeDivision, readonly UnpackableGuarantee[]> {
    const rooms = nominalCells(document).map(nominal => {
        const cell = createCell(nominal.workers);
        return { id: nominal.id, cell, capacity: reclaimableCapacity(cell), units: [] as GuaranteeUnit[] };
    });
    const missing = new Map<string, GuaranteeUnit[]>();
    for (const unit of listUnits(document)) {
        const fits = rooms.some(room => {
            const placement = findPlacement(room.cell.topology, room.capacity, unit.shape);
            if (placement !== undefined) {
                subtractPlacement(room.cell, room.capacity, placement);
                room.units.push(unit);
            }
            return placement !== undefined;
        });
        if (!fits) {
            const key = `${unit.customer}.${unit.guarantee}`;
            missing.set(key, [...missing.get(key) ?? [], unit]);
        }
    }
    return missing.size > 0
        ? err([...missing.values()].map(describeMissing))
        : ok(new Map(rooms.map(room => [room.id, room.units])));
}

function listUnits(document: Document): readonly GuaranteeUnit[] {
    const units: GuaranteeUnit[] = [];
    for (const [customer, entry] of Object.entries(document.customer)) {
        for (const [guarantee, { gangs, ...shape }] of Object.entries(entry.guarantee)) {
            for (let ordinal = 0; ordinal < gangs; ordinal++) {
                units.push({
                    customer: customer as CustomerId,
                    guarantee: guarantee as GuaranteeId,
                    ordinal,
                    shape: {
                        members: shape.members,
                        acceleratorsPerMember: shape.acceleratorsPerMember,
                        adjacency: shape.adjacency,
                    },
                });
            }
        }
    }
    return units.sort((left, right) => compareShapes(left.shape, right.shape));
}

function describeMissing(units: readonly GuaranteeUnit[]): UnpackableGuarantee {
    const { customer, guarantee } = units[0]!;
    return {
        kind: "unpackable-guarantee",
        customer,
        guarantee,
        gangs: units.length,
        message:
            `The fleet cannot hold ${units.length} gangs of the guarantee '${guarantee}' of customer '${customer}' `
            + "beside the other guarantees. Lower 'gangs', loosen 'adjacency', or add workers.",
    };
}
