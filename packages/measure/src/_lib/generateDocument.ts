import { sha256Hex } from "@balsamward/schema";

/** Size of a generated configuration document. */
export type DocumentSize = {
    readonly dataCentreCount: number;
    /** Number of workers in each data centre. */
    readonly workersPerDataCentre: number;
    readonly acceleratorsPerWorker: number;
    readonly customerCount: number;
    readonly kindCount: number;
};

/**
 * Generates a configuration document of a given size, with two guarantees per customer.
 *
 * @param size - The size.
 * @returns The text of the document.
 */
export function generateDocument(size: DocumentSize): string {
    const sections: string[] = [];
    for (let index = 0; index < size.dataCentreCount; index++) {
        sections.push(
            `[data_centre.dc${index}]\nworkers = ${size.workersPerDataCentre}\nworkers_per_rack = 8\n`
                + `accelerators_per_worker = ${size.acceleratorsPerWorker}\nracks_per_cell = 64\n`,
        );
    }
    for (let index = 0; index < size.customerCount; index++) {
        sections.push(
            `[customer.c${index}]\nweight = 1\ntoken_sha256 = ${sha256Hex(`c${index}-token`)}\n`
                + "quota_accelerators = 100000\n",
            `[customer.c${index}.guarantee.wide]\ngangs = 1\nmembers = 4\naccelerators_per_member = 2\nadjacency = rack\n`,
            `[customer.c${index}.guarantee.narrow]\ngangs = 2\nmembers = 1\naccelerators_per_member = 2\n`
                + "adjacency = worker\n",
        );
    }
    for (let index = 0; index < size.kindCount; index++) {
        sections.push(
            `[kind.batch${index}]\nwork = job\nidempotent = true\nurgency = normal\ndeadline_ms = 60000\n`
                + "rate_per_second = 1000\nconcurrency = 100000\npreemptible = true\ncheckpoint_ms = 1000\n",
        );
    }
    return sections.join("\n");
}
