import { checkDocument } from "@balsamward/placement";
import { composeDocument } from "../_lib/composeDocument.js";
import type { Slope } from "./Slope.js";
import { createSlope } from "./Slope.js";

const CUSTOMER_COUNTS = [22, 43, 86];
const DATA_CENTRE_COUNTS = [6, 12, 23];
const WORKERS = 1_522;
const REPEATS = 5;

/**
 * Measures the cost of a document by customers and by workers.
 *
 * @returns The slopes.
 */
export function measureDocument(): readonly Slope[] {
    const byCustomers = CUSTOMER_COUNTS.map(size => ({ size, text: compose(23, size) }));
    const byDataCentres = DATA_CENTRE_COUNTS.map(size => ({ size: size * WORKERS, text: compose(size, 86) }));
    const bytes = byCustomers.map(({ size, text }) => ({ x: size, y: text.length }));
    return [
        createSlope("document, size", "customers", "B", bytes),
        createSlope(
            "document, check",
            "customers",
            "ms",
            byCustomers.map(({ size, text }) => ({ x: size, y: time(text) })),
        ),
        createSlope(
            "document, check",
            "workers",
            "ms",
            byDataCentres.map(({ size, text }) => ({ x: size, y: time(text) })),
        ),
    ];
}

function compose(dataCentres: number, customers: number): string {
    return composeDocument({ dataCentres, workers: WORKERS, acceleratorsPerWorker: 4, customers, kinds: 20 });
}

/** Returns the median time of a check in milliseconds. */
function time(text: string): number {
    const times: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
        const startedAt = performance.now();
        checkDocument(text)._unsafeUnwrap();
        times.push(performance.now() - startedAt);
    }
    return times.toSorted((left, right) => left - right)[Math.floor(REPEATS / 2)]!;
}
