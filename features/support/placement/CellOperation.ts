import { Adjacency } from "@balsamward/schema";
import * as fc from "fast-check";
import type { GangShape } from "../../../packages/placement/src/index.js";
import { TEST_CELL_WORKERS } from "./createTestCell.js";

/** An operation on a cell in a random sequence. */
export type CellOperation =
    | {
        readonly kind: "submit";
        readonly customer: string;
        readonly shape: GangShape;
        readonly urgency: number;
    }
    | { readonly kind: "end"; readonly choice: number }
    | { readonly kind: "fail"; readonly worker: number }
    | { readonly kind: "return"; readonly worker: number };

const shapeArbitrary = fc.record({
    members: fc.integer({ min: 1, max: 6 }),
    acceleratorsPerMember: fc.constantFrom(1, 2, 4, 8),
    adjacency: fc.constantFrom(Adjacency.WORKER, Adjacency.RACK, Adjacency.DATA_CENTRE),
});
const customerArbitrary = fc.constantFrom("a", "b", "c");
/** Generates random operations. */
export const cellOperationArbitrary: fc.Arbitrary<CellOperation> = fc.oneof(
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
            worker: fc.nat(TEST_CELL_WORKERS - 1),
        }),
    },
    {
        weight: 1,
        arbitrary: fc.record({
            kind: fc.constant("return" as const),
            worker: fc.nat(TEST_CELL_WORKERS - 1),
        }),
    },
);
