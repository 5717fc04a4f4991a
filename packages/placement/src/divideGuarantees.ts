import type { CellId, CustomerId, Document, GuaranteeId } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { reclaimableCapacity, subtractPlacement } from "./_lib/capacities.js";
import { comparePackingOrder } from "./bindGuarantees.js";
import { createCell } from "./Cell.js";
import { findPlacement } from "./findPlacement.js";
import type { GuaranteedGang } from "./GuaranteedGang.js";
import { listConfiguredCells } from "./listConfiguredCells.js";

/** A guarantee that the configured fleet cannot hold in addition to the others. */
export type UnpackableGuarantee = {
    readonly kind: "unpackable-guarantee";
    readonly customer: CustomerId;
    readonly guarantee: GuaranteeId;
    /** Number of the guarantee's gangs that do not fit. */
    readonly gangs: number;
    readonly message: string;
};

/** The guaranteed gangs of each cell, by cell id. */
export type GuaranteeDivision = ReadonlyMap<CellId, readonly GuaranteedGang[]>;

/**
 * Divides the guarantees of a document among the cells of its configured fleet.
 *
 * The result depends only on the document, so that all daemons compute the same division without
 * communicating. Packs the largest gangs first, each into the first cell that can hold it.
 *
 * @param document - The document.
 * @returns The guaranteed gangs of each cell, or every guarantee that does not fit.
 *
 * @example
 * divideGuarantees(document).map(division => division.get(cell));
 */
export function divideGuarantees(
    document: Document,
): Result<GuaranteeDivision, readonly UnpackableGuarantee[]> {
    const cells = listConfiguredCells(document).map(configuredCell => {
        const cell = createCell(configuredCell.workers);
        return {
            id: configuredCell.id,
            cell,
            capacity: reclaimableCapacity(cell),
            gangs: [] as GuaranteedGang[],
        };
    });
    const unplaced = new Map<string, GuaranteedGang[]>();
    for (const gang of listGuaranteedGangs(document)) {
        const fits = cells.some(candidate => {
            const placement = findPlacement(candidate.cell.topology, candidate.capacity, gang.shape);
            if (placement !== undefined) {
                subtractPlacement(candidate.cell, candidate.capacity, placement);
                candidate.gangs.push(gang);
            }
            return placement !== undefined;
        });
        if (!fits) {
            const key = `${gang.customer}.${gang.guarantee}`;
            unplaced.set(key, [...unplaced.get(key) ?? [], gang]);
        }
    }
    return unplaced.size > 0
        ? err([...unplaced.values()].map(createUnpackableGuarantee))
        : ok(new Map(cells.map(candidate => [candidate.id, candidate.gangs])));
}

function listGuaranteedGangs(document: Document): readonly GuaranteedGang[] {
    const guaranteedGangs: GuaranteedGang[] = [];
    for (const [customer, entry] of Object.entries(document.customer)) {
        for (const [guarantee, { gangs, ...shape }] of Object.entries(entry.guarantee)) {
            for (let index = 0; index < gangs; index++) {
                guaranteedGangs.push({
                    customer: customer as CustomerId,
                    guarantee: guarantee as GuaranteeId,
                    index,
                    shape: {
                        members: shape.members,
                        acceleratorsPerMember: shape.acceleratorsPerMember,
                        adjacency: shape.adjacency,
                    },
                });
            }
        }
    }
    return guaranteedGangs.sort((left, right) => comparePackingOrder(left.shape, right.shape));
}

function createUnpackableGuarantee(unplacedGangs: readonly GuaranteedGang[]): UnpackableGuarantee {
    const { customer, guarantee } = unplacedGangs[0]!;
    return {
        kind: "unpackable-guarantee",
        customer,
        guarantee,
        gangs: unplacedGangs.length,
        message:
            `The fleet cannot hold ${unplacedGangs.length} of the gangs of guarantee '${guarantee}' of customer '${customer}' `
            + "in addition to the other guarantees. Lower 'gangs', relax 'adjacency', or add workers.",
    };
}
