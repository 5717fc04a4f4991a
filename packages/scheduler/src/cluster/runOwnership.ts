import { OwnerRecordSchema, TermRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { setMaxListeners } from "node:events";
import { decodeRecord } from "../_lib/decodeRecord.js";
import {
    LEASE_RENEWAL_INTERVAL_MS,
    MAX_WATCH_WAIT_MS,
    OWNER_LEASE_TTL_MS,
    STORE_RETRY_MS,
} from "../constants.js";
import type { Ownership } from "../engine/Scheduler.js";
import { pause } from "../pause.js";
import type { FleetStore, LeaseId, StoreItem, StoreLease } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { Cluster, KnownOwner } from "./Cluster.js";
import { updateOwner } from "./Cluster.js";
import { computeClaimDelayMs } from "./computeClaimDelayMs.js";
import { couldMissNewOwner } from "./couldMissNewOwner.js";
import type { TermLease } from "./createTermLease.js";
import { createTermLease } from "./createTermLease.js";
import { shouldHandOver } from "./shouldHandOver.js";

/** Longest time for which an owner continues past its lease while no peer reaches the store, in milliseconds. */
const MAX_OVERDUE_WITHOUT_STORE_MS = 30_000;

/** Largest number of terms. Run numbers are counted from a multiple of it, and must remain storable. */
const MAX_TERM = 2_000_000;

/** Options of `runOwnership`. */
export type OwnershipOptions = {
    readonly cluster: Cluster;
    readonly store: FleetStore;
    /** Runs the scheduler until the term ends. */
    readonly schedule: (ownership: Ownership) => Promise<void>;
};

/**
 * Watches the owner's record in the store, and claims the ownership when there is no owner.
 *
 * @param options - View of the cluster, store, and the scheduler to run during a term.
 * @param signal - Ends the watch and a running term.
 */
export async function runOwnership(options: OwnershipOptions, signal: AbortSignal): Promise<void> {
    const { cluster, store } = options;
    cluster.onOwnerDead = owner => void endLeaseOfDeadOwner(options, owner);
    while (!signal.aborted) {
        // A list returns the store's revision; the record's own may be older than the retained history.
        const listed = await store.list(storeKeys.owner);
        if (listed.isErr()) {
            await pause(STORE_RETRY_MS, signal);
            continue;
        }
        const record = listed.value.items.find(item => item.key === storeKeys.owner);
        if (record === undefined) {
            await pause(computeClaimDelayMs(cluster, Math.random), signal);
            await claimIfFree(options, signal);
            continue;
        }
        updateOwnerFromRecord(cluster, record);
        await waitForOwnerChange(options, {
            ownerRevision: record.revision,
            storeRevision: listed.value.revision,
        }, signal);
    }
}

/** Revision of the owner's record, and of the store when it was read. */
type ReadRevisions = { readonly ownerRevision: number; readonly storeRevision: number };

async function waitForOwnerChange(
    { store, cluster }: OwnershipOptions,
    read: ReadRevisions,
    signal: AbortSignal,
): Promise<void> {
    let revision = read.storeRevision;
    while (!signal.aborted) {
        const changed = await store.watch(storeKeys.owner, revision, MAX_WATCH_WAIT_MS, signal);
        if (changed.isErr()) {
            await pause(STORE_RETRY_MS, signal);
            return;
        }
        if (changed.value.events.length > 0 || (cluster.owner?.revision ?? 0) > read.ownerRevision) {
            return;
        }
        revision = changed.value.revision;
    }
}

function updateOwnerFromRecord(cluster: Cluster, item: StoreItem): void {
    const record = decodeRecord(cluster, OwnerRecordSchema, item);
    if (record !== undefined) {
        updateOwner(cluster, { node: record.node, address: record.peerAddress, revision: item.revision });
    }
}

/** Ends the lease of a dead owner, so that the ownership is free before the lease would expire. */
async function endLeaseOfDeadOwner({ cluster, store }: OwnershipOptions, owner: KnownOwner): Promise<void> {
    const current = await store.read(storeKeys.owner);
    if (current.isErr() || current.value?.revision !== owner.revision) {
        return;
    }
    const record = decodeRecord(cluster, OwnerRecordSchema, current.value);
    if (record === undefined) {
        return;
    }
    const ended = await store.endLease(record.lease as LeaseId);
    cluster.metrics.ownershipChanges.inc({ reason: "dead-owner" });
    cluster.log.warn("The lease of a dead owner is ended.", { owner: owner.node, result: ended.isOk() });
}

/** Claims the ownership unless another daemon has become the owner meanwhile. */
async function claimIfFree(options: OwnershipOptions, signal: AbortSignal): Promise<void> {
    const current = await options.store.read(storeKeys.owner);
    if (current.isOk() && current.value === undefined && !signal.aborted) {
        await claimOwnership(options, signal);
    }
}

async function claimOwnership(options: OwnershipOptions, signal: AbortSignal): Promise<void> {
    const { cluster, store } = options;
    const requestedAt = cluster.clock();
    const [lease, term] = await Promise.all([
        store.grantLease(OWNER_LEASE_TTL_MS),
        store.read(storeKeys.term),
    ]);
    if (lease.isErr() || term.isErr()) {
        await pause(STORE_RETRY_MS, signal);
        return;
    }
    const termNumber = getTermNumber(cluster, term.value);
    const record = create(OwnerRecordSchema, {
        node: cluster.node,
        peerAddress: cluster.address,
        term: termNumber,
        lease: lease.value.id,
    });
    const written = await store.commit({
        expect: [{ key: storeKeys.owner, revision: 0 }, {
            key: storeKeys.term,
            revision: term.value?.revision ?? 0,
        }],
        puts: [
            { key: storeKeys.owner, value: toBinary(OwnerRecordSchema, record), lease: lease.value.id },
            {
                key: storeKeys.term,
                value: toBinary(TermRecordSchema, create(TermRecordSchema, { term: termNumber + 1 })),
            },
        ],
        removals: [],
    });
    if (written.isErr()) {
        cluster.log.info("The ownership is not taken.", { reason: written.error.kind });
        // If the outcome is unclear and the claim took effect, ending the lease removes the owner's record.
        await store.endLease(lease.value.id);
        return;
    }
    await runTerm(
        options,
        { lease: lease.value, number: termNumber, revision: written.value, requestedAt },
        signal,
    );
}

/**
 * Returns the number of terms so far. In place of a record that cannot be used, the record's revision bounds it from
 * above: each term begins with a write.
 */
function getTermNumber(cluster: Cluster, item: StoreItem | undefined): number {
    if (item === undefined) {
        return 0;
    }
    const record = decodeRecord(cluster, TermRecordSchema, item, {
        isSound: ({ term }) => term <= MAX_TERM,
    });
    return record?.term ?? Math.min(item.revision, MAX_TERM);
}

type Term = {
    readonly lease: StoreLease;
    readonly number: number;
    readonly revision: number;
    /** Monotonic time at which the lease was requested, in milliseconds. */
    readonly requestedAt: number;
};

async function runTerm(options: OwnershipOptions, term: Term, signal: AbortSignal): Promise<void> {
    const { cluster, store } = options;
    const termEnd = new AbortController();
    // Every worker's task and every background task of the term listens to the signal: more than the default limit.
    setMaxListeners(0, termEnd.signal);
    const resign = (reason: string): void => {
        if (!termEnd.signal.aborted) {
            cluster.metrics.ownershipChanges.inc({ reason: "resigned" });
            cluster.log.warn("The term ends.", { revision: term.revision, reason });
            termEnd.abort();
        }
    };
    const resignOnStop = (): void => resign("The daemon stops.");
    signal.addEventListener("abort", resignOnStop);
    if (signal.aborted) {
        resignOnStop();
    }
    // The successor acts as soon as it is known, so this owner must not wait for its next renewal.
    cluster.onNewerOwner = owner => {
        if (owner.revision > term.revision) {
            resign("A newer owner is known.");
        }
    };
    cluster.metrics.ownershipChanges.inc({ reason: "taken" });
    cluster.metrics.owner.set(1);
    cluster.log.info("The ownership is taken.", { revision: term.revision, term: term.number });
    updateOwner(cluster, { node: cluster.node, address: cluster.address, revision: term.revision });
    cluster.onNewerOwner(cluster.owner!);
    const termLease = createTermLease(cluster, term.lease.ttlMs, term.requestedAt);
    const ownership = {
        key: storeKeys.owner,
        revision: term.revision,
        term: term.number,
        signal: termEnd.signal,
        heldAt: termLease.heldAt,
        resign,
    };
    try {
        await Promise.all([options.schedule(ownership), renewTerm(options, term, termLease, ownership)]);
    }
    catch (error) {
        resign("The scheduler fails unexpectedly.");
        throw error;
    }
    finally {
        signal.removeEventListener("abort", resignOnStop);
        cluster.onNewerOwner = () => {};
        cluster.metrics.owner.set(0);
        await store.endLease(term.lease.id);
    }
}

async function renewTerm(
    { cluster, store }: OwnershipOptions,
    term: Term,
    termLease: TermLease,
    ownership: Ownership,
): Promise<void> {
    let pauseMs = LEASE_RENEWAL_INTERVAL_MS;
    const beganAt = cluster.clock();
    while (!ownership.signal.aborted) {
        await pause(pauseMs, ownership.signal);
        const sentAt = cluster.clock();
        const renewed = await store.renewLease(term.lease.id);
        pauseMs = renewed.isOk() ? LEASE_RENEWAL_INTERVAL_MS : STORE_RETRY_MS;
        if (renewed.isOk()) {
            termLease.confirm(sentAt);
            if (shouldHandOver(cluster, cluster.clock() - beganAt)) {
                cluster.handedOverAt = cluster.clock();
                ownership.resign("A daemon with a faster processor can take over.");
            }
        }
        else if (renewed.error.kind === "lease-ended") {
            ownership.resign("The store lease has ended.");
        }
        const overdueMs = termLease.overdueMs();
        if (overdueMs > 0 && (couldMissNewOwner(cluster) || overdueMs > MAX_OVERDUE_WITHOUT_STORE_MS)) {
            ownership.resign("The store lease could not be renewed in time.");
        }
    }
}
