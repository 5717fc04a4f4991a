import type { RunTimesRecord } from "@balsamward/schema/scheduling";
import type { StoreError } from "../../ports/FleetStore.js";
import { composeSnapshot } from "../../runTimes/composeSnapshot.js";
import { hasMoved } from "../../runTimes/hasMoved.js";
import { storeKeys } from "../../storeKeys.js";
import { resignIfReplaced } from "../resignIfReplaced.js";
import type { Scheduler } from "../Scheduler.js";
import { loadRunTimes } from "../takeover/loadRunTimes.js";

/** Minimum interval between writes of the snapshot, in milliseconds. */
const STORE_INTERVAL_MS = 2_000;

/**
 * Loads the run times that earlier owners learned, then stores snapshots of the learned run times during a term.
 *
 * A write expects only that the term goes on. One that takes effect late replaces a newer snapshot, which the next
 * write corrects.
 *
 * @param scheduler - The scheduler.
 */
export async function storeRunTimes(scheduler: Scheduler): Promise<void> {
    const { metrics, ownership: { signal } } = scheduler;
    let stored: RunTimesRecord | undefined = await loadRunTimes(scheduler);
    while (!signal.aborted) {
        await scheduler.pause(STORE_INTERVAL_MS, signal);
        const { record, value } = composeSnapshot(scheduler, scheduler.wallClock());
        if (signal.aborted || !hasMoved(stored, record)) {
            continue;
        }
        const written = await scheduler.store.commit({
            expect: [{ key: scheduler.ownership.key, revision: scheduler.ownership.revision }],
            puts: [{ key: storeKeys.runTimes, value }],
            removals: [],
        });
        metrics.runTimeSnapshots.inc({
            operation: "write",
            result: written.isOk() ? "stored" : written.error.kind,
        });
        if (written.isOk()) {
            stored = record;
        }
        else {
            handleCommitError(scheduler, written.error);
        }
    }
}

/** Ends the term if the store shows another owner; any other failed write is repeated after the interval. */
function handleCommitError({ log, ownership }: Scheduler, error: StoreError): void {
    log.warn("The learned run times are not stored.", { reason: error.kind });
    if (error.kind === "conflict") {
        resignIfReplaced(ownership, error.items);
    }
}
