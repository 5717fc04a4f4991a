import { checkDocument } from "@balsamward/placement";
import { generateDocument } from "../_lib/generateDocument.js";
import type { CostCurve } from "./CostCurve.js";
import { createCostCurve } from "./CostCurve.js";

const CUSTOMER_COUNTS = [22, 43, 86];
const DATA_CENTRE_COUNTS = [6, 12, 23];
const WORKERS_PER_DATA_CENTRE = 1_522;
const REPEATS = 5;

/**
 * Measures how the size and the check time of a document grow with the number of customers and workers.
 *
 * @returns The cost curves.
 */
export function measureDocument(): readonly CostCurve[] {
    const byCustomers = CUSTOMER_COUNTS.map(size => ({ size, text: generateDocumentOfSize(23, size) }));
    const byDataCentres = DATA_CENTRE_COUNTS.map(size => ({
        size: size * WORKERS_PER_DATA_CENTRE,
        text: generateDocumentOfSize(size, 86),
    }));
    const sizePoints = byCustomers.map(({ size, text }) => ({ x: size, y: text.length }));
    return [
        createCostCurve("document, size", "customers", "B", sizePoints),
        createCostCurve(
            "document, check",
            "customers",
            "ms",
            byCustomers.map(({ size, text }) => ({ x: size, y: measureMedianCheckMs(text) })),
        ),
        createCostCurve(
            "document, check",
            "workers",
            "ms",
            byDataCentres.map(({ size, text }) => ({ x: size, y: measureMedianCheckMs(text) })),
        ),
    ];
}

function generateDocumentOfSize(dataCentreCount: number, customerCount: number): string {
    return generateDocument({
        dataCentreCount,
        workersPerDataCentre: WORKERS_PER_DATA_CENTRE,
        acceleratorsPerWorker: 4,
        customerCount,
        kindCount: 20,
    });
}

/** Returns the median time in milliseconds to check a document. */
function measureMedianCheckMs(text: string): number {
    const durationsMs: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
        const startedAt = performance.now();
        checkDocument(text)._unsafeUnwrap();
        durationsMs.push(performance.now() - startedAt);
    }
    return durationsMs.toSorted((left, right) => left - right)[Math.floor(REPEATS / 2)]!;
}
