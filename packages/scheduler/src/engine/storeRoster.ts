import { RosterRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { storeKeys } from "../storeKeys.js";
import type { Scheduler } from "./Scheduler.js";

/**
 * Stores the roster of workers that may have runs, so that the next owner reconciles each of them.
 *
 * @param scheduler - The scheduler.
 */
export async function storeRoster(scheduler: Scheduler): Promise<void> {
    const rosterWorkers = [...scheduler.fleet.values()].filter(mayHaveRuns);
    const isCurrent = rosterWorkers.length === scheduler.roster.size
        && rosterWorkers.every(worker => scheduler.roster.has(worker.id));
    if (isCurrent) {
        return;
    }
    const message = create(RosterRecordSchema, {
        workers: rosterWorkers.map(worker => ({ worker: worker.id, address: worker.address })),
    });
    const written = await scheduler.store.commit({
        expect: [
            { key: scheduler.ownership.key, revision: scheduler.ownership.revision },
            { key: storeKeys.roster, revision: scheduler.rosterRevision },
        ],
        puts: [{ key: storeKeys.roster, value: toBinary(RosterRecordSchema, message) }],
        removals: [],
    });
    if (written.isOk()) {
        scheduler.rosterRevision = written.value;
        scheduler.roster.clear();
        rosterWorkers.forEach(worker => scheduler.roster.add(worker.id));
        scheduler.requestPass();
        return;
    }
    scheduler.log.warn("The roster of workers cannot be stored.", {
        reason: written.error.kind,
        workers: rosterWorkers.length,
    });
    await refreshRosterRevision(scheduler);
}

/** An unlisted worker gets no starts, so once it has been reached it has only the known runs. */
function mayHaveRuns(worker: WorkerEntry): boolean {
    return worker.isListed || !worker.hasAnswered || worker.runs.size > 0;
}

/** Reads the revision again: a write whose answer was lost may have taken effect, and the next one must expect it. */
async function refreshRosterRevision(scheduler: Scheduler): Promise<void> {
    const stored = await scheduler.store.read(storeKeys.roster);
    if (stored.isOk()) {
        scheduler.rosterRevision = stored.value?.revision ?? 0;
    }
}
