import { RosterRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import type { StoreError, StoreItem } from "../../ports/FleetStore.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { storeKeys } from "../../storeKeys.js";
import { resignIfReplaced } from "../resignIfReplaced.js";
import type { Roster, RosterBounds, RosterLives, Scheduler } from "../Scheduler.js";
import type { StoredRoster } from "./decodeRoster.js";
import { decodeRoster, EMPTY_ROSTER } from "./decodeRoster.js";
import { isUntouched } from "./isUntouched.js";
import { mayHaveUnknownRuns } from "./mayHaveUnknownRuns.js";
import { hasLeaseEnded } from "./workerLease.js";

/**
 * Time without an answer after which the roster leaves out a worker that can have no runs, in milliseconds. A worker
 * that has just joined gets starts only once it is stored, so it is stored before its first answer.
 */
const ROSTER_SILENCE_LIMIT_MS = 2_000;

/** Age from which the bounds of unknown runs are stored again, in milliseconds. */
const BOUND_REFRESH_MS = 1_000;

/**
 * Stores the roster of workers that may have runs or unstored ends, so that the next owner reconciles each of them.
 *
 * While a write is in progress or its outcome is unclear, `scheduler.roster` holds only the workers that the store
 * lists whether or not the write takes effect, since a worker that it leaves out may answer meanwhile. The write after
 * an unclear one succeeds only if that has not taken effect, and then also prevents that it does so later; otherwise,
 * it conflicts and returns what is stored.
 *
 * The roster tells the next owner how long the runs may still last that this one could not ask for. Without that each
 * owner would wait for them anew, and takeovers in series would keep inherited jobs from running without end.
 *
 * @param scheduler - The scheduler.
 */
export async function storeRoster(scheduler: Scheduler): Promise<void> {
    const rosterWorkers = [...scheduler.fleet.values()].filter(worker => mustBeAsked(scheduler, worker));
    const roster: Roster = new Map(rosterWorkers.map(worker => [worker.id, worker.address]));
    const bounds = findBounds(scheduler, rosterWorkers);
    const lives = findLives(scheduler, rosterWorkers);
    const isStored = isSameRoster(scheduler.roster, roster) && areSameBounds(scheduler.rosterBounds, bounds)
        && areSameLives(scheduler.rosterLives, lives);
    if (!scheduler.isRosterUnclear && isStored) {
        return;
    }
    const message = create(RosterRecordSchema, {
        workers: [...roster].map(([worker, address]) => {
            const unknownRunsMs = bounds.get(worker);
            return {
                worker,
                address,
                ...(unknownRunsMs === undefined ? {} : { unknownRunsMs }),
                ...lives.get(worker),
            };
        }),
        nextTerm: scheduler.ownership.term + 1,
    });
    const stored = { roster: scheduler.roster, bounds: scheduler.rosterBounds, lives: scheduler.rosterLives };
    scheduler.roster = new Map([...stored.roster].filter(([id, address]) => roster.get(id) === address));
    scheduler.rosterBounds = new Map([...stored.bounds, ...bounds]);
    const written = await scheduler.store.commit({
        expect: [
            { key: scheduler.ownership.key, revision: scheduler.ownership.revision },
            { key: storeKeys.roster, revision: scheduler.rosterRevision },
        ],
        puts: [{ key: storeKeys.roster, value: toBinary(RosterRecordSchema, message) }],
        removals: [],
    });
    if (written.isOk()) {
        setRoster(scheduler, written.value, { roster, bounds, lives });
        return;
    }
    scheduler.log.warn("The roster of workers cannot be stored.", {
        reason: written.error.kind,
        workers: roster.size,
    });
    handleCommitError(scheduler, written.error, stored);
}

/**
 * Returns whether the next owner must ask the worker. An unlisted worker gets no starts, so once it has listed all its
 * runs it is needed only for those that are known, and for ends that are not stored. The same holds for a silent
 * worker, which is stored again before it gets starts.
 */
function mustBeAsked(scheduler: Scheduler, worker: WorkerEntry): boolean {
    if (worker.runs.size > 0 || worker.ends.lastApplied > worker.ends.lastDurable) {
        return true;
    }
    return !isSilent(scheduler, worker)
        && (worker.isListed || !worker.hasAnswered || scheduler.unreconciledWorkers.has(worker.id));
}

/** Returns whether a worker has not answered for so long that nothing runs on it any more. */
function isSilent(scheduler: Scheduler, worker: WorkerEntry): boolean {
    const now = scheduler.clock();
    const silenceMs = now - (worker.silentSince ?? now);
    return silenceMs > ROSTER_SILENCE_LIMIT_MS && hasLeaseEnded(scheduler, worker)
        && !mayHaveUnknownRuns(scheduler, worker.id);
}

function isSameRoster(left: Roster, right: Roster): boolean {
    return left.size === right.size && [...left].every(([id, address]) => right.get(id) === address);
}

/** Returns the bounds of silent workers to which this owner has sent nothing that extends a lease. */
function findBounds(scheduler: Scheduler, workers: readonly WorkerEntry[]): RosterBounds {
    const now = scheduler.clock();
    return new Map(workers.flatMap(worker => {
        const unknownRunsEndAt = scheduler.unreconciledWorkers.get(worker.id);
        return unknownRunsEndAt === undefined || !isUntouched(worker)
            ? []
            : [[worker.id, Math.max(0, Math.ceil(unknownRunsEndAt - now))] as const];
    }));
}

/** Returns the lives of workers as they are listed, or as an earlier owner has stored them. */
function findLives({ rosterLives }: Scheduler, workers: readonly WorkerEntry[]): RosterLives {
    return new Map(workers.flatMap(({ id, machine, reportedColdness: { bornMs } }) => {
        const life = machine !== "" && bornMs > 0 ? { machine, bornMs } : rosterLives.get(id);
        return life === undefined ? [] : [[id, life] as const];
    }));
}

function areSameLives(left: RosterLives, right: RosterLives): boolean {
    return left.size === right.size && [...left].every(([id, { machine, bornMs }]) => {
        const other = right.get(id);
        return other?.machine === machine && other.bornMs === bornMs;
    });
}

function areSameBounds(stored: RosterBounds, current: RosterBounds): boolean {
    return stored.size === current.size
        && [...current].every(([id, ms]) =>
            (stored.get(id) ?? Number.POSITIVE_INFINITY) - ms < BOUND_REFRESH_MS
        );
}

function setRoster(
    scheduler: Scheduler,
    revision: number,
    { roster, bounds, lives }: Omit<StoredRoster, "nextTerm">,
): void {
    scheduler.roster = roster;
    scheduler.rosterBounds = bounds;
    scheduler.rosterLives = lives;
    scheduler.rosterRevision = revision;
    scheduler.isRosterUnclear = false;
    scheduler.requestPass();
}

function handleCommitError(
    scheduler: Scheduler,
    error: StoreError,
    stored: Pick<StoredRoster, "roster" | "bounds">,
): void {
    switch (error.kind) {
        case "unavailable":
            scheduler.roster = stored.roster;
            scheduler.rosterBounds = stored.bounds;
            return;
        case "conflict":
            adoptStoredRoster(scheduler, error.items);
            return;
        case "unclear":
        case "compacted":
        case "lease-ended":
        case "invalid":
            scheduler.isRosterUnclear = true;
    }
}

/** Adopts the roster that a conflict shows: an earlier write of this owner, unless there is a newer owner. */
function adoptStoredRoster(scheduler: Scheduler, items: readonly StoreItem[]): void {
    const { ownership } = scheduler;
    const storedItems = new Map(items.map(item => [item.key, item]));
    if (resignIfReplaced(ownership, items)) {
        return;
    }
    const item = storedItems.get(storeKeys.roster);
    const stored = decodeRoster(scheduler, item) ?? EMPTY_ROSTER;
    setRoster(scheduler, item?.revision ?? 0, stored);
}
