import type { Logger } from "winston";
import { decodeSafely } from "./_lib/decodeSafely.js";
import type { ListWorkers } from "./engine/Scheduler.js";
import type { Metrics } from "./Metrics.js";
import type { FleetStore } from "./ports/FleetStore.js";
import type { WorkerReport } from "./ports/WorkerPort.js";

/** Maximum number of ignored entries that are logged while they are listed. */
const MAX_LOGGED_ENTRIES = 100;

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
 * ignored and counted, and each is logged once as long as it is listed.
 *
 * @param store - The store.
 * @param options - The prefix and the decoder of the entries, the log and the metrics.
 * @returns The function, whose result is `undefined` if the store cannot be read.
 */
export function createWorkerLister(store: FleetStore, options: WorkerListerOptions): ListWorkers {
    let loggedKeys: ReadonlySet<string> = new Set();
    return async () => {
        const listed = await store.list(options.workersPrefix);
        if (listed.isErr()) {
            options.log.warn("The workers cannot be listed.", { reason: listed.error.kind });
            return undefined;
        }
        const entries = listed.value.items.map(({ key, value }) => ({
            key,
            report: decodeSafely(() => options.decodeWorkerReport(key, value)),
        }));
        const ignoredKeys = entries.filter(({ report }) => report === undefined).map(({ key }) => key);
        options.metrics.ignoredWorkerEntries.set(ignoredKeys.length);
        const keysToLog = ignoredKeys.slice(0, MAX_LOGGED_ENTRIES);
        keysToLog.filter(key => !loggedKeys.has(key)).forEach(key =>
            options.log.warn("A store entry does not describe a worker.", { key })
        );
        loggedKeys = new Set(keysToLog);
        return entries.flatMap(({ report }) => report ?? []);
    };
}
