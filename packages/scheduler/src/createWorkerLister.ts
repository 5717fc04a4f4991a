import type { Logger } from "winston";
import type { ListWorkers } from "./engine/Scheduler.js";
import type { Metrics } from "./Metrics.js";
import type { FleetStore } from "./ports/FleetStore.js";
import type { WorkerReport } from "./ports/WorkerPort.js";

/** Options of `createWorkerLister`. */
export type WorkerListerOptions = {
    /** Prefix of the store keys under which workers register. */
    readonly workersPrefix: string;
    readonly decodeWorkerReport: (key: string, value: Uint8Array) => WorkerReport | undefined;
    readonly log: Logger;
    readonly metrics: Metrics;
};

/**
 * Creates the function that lists the workers registered in the store. Entries that do not describe a worker are
 * ignored.
 *
 * @param store - The store.
 * @param options - The prefix and the decoder of the entries, the log and the metrics.
 * @returns The function, whose result is `undefined` if the store cannot be read.
 */
export function createWorkerLister(store: FleetStore, options: WorkerListerOptions): ListWorkers {
    return async () => {
        const listed = await store.list(options.workersPrefix);
        if (listed.isErr()) {
            options.log.warn("The workers cannot be listed.", { reason: listed.error.kind });
            return undefined;
        }
        return listed.value.items.flatMap(({ key, value }) => {
            const report = options.decodeWorkerReport(key, value);
            if (report === undefined) {
                options.log.debug("A store entry does not describe a worker.", { key });
            }
            return report === undefined ? [] : [report];
        });
    };
}
