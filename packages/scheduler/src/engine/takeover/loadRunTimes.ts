import type { RunTimesRecord } from "@balsamward/schema/scheduling";
import { RunTimesRecordSchema } from "@balsamward/schema/scheduling";
import { decodeRecord } from "../../_lib/decodeRecord.js";
import type { StoreItem } from "../../ports/FleetStore.js";
import { applySnapshot, isSoundSnapshot } from "../../runTimes/applySnapshot.js";
import { SNAPSHOT_FORMAT } from "../../runTimes/composeSnapshot.js";
import { storeKeys } from "../../storeKeys.js";
import { applyRelativeRunTimes } from "../fleet/updateRelativeRunTimes.js";
import type { Scheduler } from "../Scheduler.js";

/** Pause after a failed read of the snapshot, in milliseconds. */
const READ_RETRY_MS = 2_000;

/**
 * Loads the run times that earlier owners learned. Placement does not wait for them: without them, it is only less
 * accurate.
 *
 * @param scheduler - The scheduler.
 * @returns The snapshot that is in use; `undefined` if there is none, or none that can be used.
 */
export async function loadRunTimes(scheduler: Scheduler): Promise<RunTimesRecord | undefined> {
    const { metrics, ownership: { signal } } = scheduler;
    while (!signal.aborted) {
        const read = await scheduler.store.read(storeKeys.runTimes);
        if (signal.aborted) {
            return undefined;
        }
        if (read.isOk()) {
            const { result, record } = applyItem(scheduler, read.value);
            metrics.runTimeSnapshots.inc({ operation: "read", result });
            return record;
        }
        metrics.runTimeSnapshots.inc({ operation: "read", result: read.error.kind });
        await scheduler.pause(READ_RETRY_MS, signal);
    }
    return undefined;
}

type AppliedItem = { readonly result: string; readonly record: RunTimesRecord | undefined };

function applyItem(scheduler: Scheduler, item: StoreItem | undefined): AppliedItem {
    if (item === undefined) {
        return { result: "absent", record: undefined };
    }
    // The values of a newer format are not checked, since they may have other meanings.
    const isSound = (record: Parameters<typeof isSoundSnapshot>[0]): boolean =>
        record.format > SNAPSHOT_FORMAT || isSoundSnapshot(record);
    const record = decodeRecord(scheduler, RunTimesRecordSchema, item, { isSound });
    if (record === undefined) {
        return { result: "unreadable", record: undefined };
    }
    if (record.format > SNAPSHOT_FORMAT) {
        return { result: "newer-format", record: undefined };
    }
    const wallMs = scheduler.wallClock();
    applySnapshot(scheduler, record, { wallMs, now: scheduler.clock() });
    applyRelativeRunTimes(scheduler);
    scheduler.log.info("The learned run times are loaded.", {
        machines: record.machines.length,
        kinds: record.kinds.length,
        bytes: item.value.length,
        ageMs: Math.round(wallMs - record.writtenAtMs),
    });
    return { result: "loaded", record };
}
