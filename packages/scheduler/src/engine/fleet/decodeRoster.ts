import { RosterRecordSchema } from "@balsamward/schema/scheduling";
import { decodeRecord } from "../../_lib/decodeRecord.js";
import type { WorkerId } from "../../ids.js";
import type { StoreItem } from "../../ports/FleetStore.js";
import type { Roster, Scheduler } from "../Scheduler.js";

/**
 * Decodes the stored roster.
 *
 * @param scheduler - The scheduler, whose log reports a malformed record.
 * @param item - Store item of the roster; `undefined` if none is stored.
 * @returns The roster, empty if none is stored, or `undefined` if the record is malformed.
 */
export function decodeRoster(
    scheduler: Pick<Scheduler, "log" | "metrics">,
    item: StoreItem | undefined,
): Roster | undefined {
    if (item === undefined) {
        return new Map();
    }
    const record = decodeRecord(scheduler, RosterRecordSchema, item);
    return record && new Map(record.workers.map(({ worker, address }) => [worker as WorkerId, address]));
}
