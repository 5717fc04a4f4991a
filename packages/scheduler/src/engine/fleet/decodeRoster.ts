import { RosterRecordSchema } from "@balsamward/schema/scheduling";
import { decodeRecord } from "../../_lib/decodeRecord.js";
import type { WorkerId } from "../../ids.js";
import type { StoreItem } from "../../ports/FleetStore.js";
import type { Roster, RosterBounds, RosterLives, Scheduler } from "../Scheduler.js";

/** The stored roster, and the bounds and lives that it contains. */
export type StoredRoster = {
    readonly roster: Roster;
    readonly bounds: RosterBounds;
    readonly lives: RosterLives;
    /** Number of the only term whose owner may rely on the bounds. */
    readonly nextTerm: number;
};

/** A roster without workers. */
export const EMPTY_ROSTER: StoredRoster = {
    roster: new Map(),
    bounds: new Map(),
    lives: new Map(),
    nextTerm: 0,
};

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
): StoredRoster | undefined {
    if (item === undefined) {
        return EMPTY_ROSTER;
    }
    const record = decodeRecord(scheduler, RosterRecordSchema, item);
    return record && {
        roster: new Map(record.workers.map(({ worker, address }) => [worker as WorkerId, address])),
        bounds: new Map(
            record.workers.flatMap(({ worker, unknownRunsMs }) =>
                unknownRunsMs === undefined ? [] : [[worker as WorkerId, unknownRunsMs] as const]
            ),
        ),
        lives: new Map(
            record.workers.filter(({ machine, bornMs }) => machine !== "" && bornMs > 0)
                .map(({ worker, machine, bornMs }) => [worker as WorkerId, { machine, bornMs }]),
        ),
        nextTerm: record.nextTerm,
    };
}
