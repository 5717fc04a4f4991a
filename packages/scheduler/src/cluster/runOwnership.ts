import { OwnerRecordSchema, TermRecordSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { setMaxListeners } from "node:events";
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
import type { Cluster, OwnerBelief } from "./Cluster.js";
import { noteOwner } from "./Cluster.js";
import { isAlone } from "./isAlone.js";

/** Longest random pause before a daemon claims a free ownership, in milliseconds. */
const CLAIM_JITTER_MS = 60;

/** Longest time for which an owner goes on without the store while no peer reaches it either, in milliseconds. */
const DETACHED_LIMIT_MS = 30_000;

/** What the campaign for ownership needs. */
export type OwnershipParts = {
    readonly cluster: Cluster;
    readonly store: FleetStore;
    /** Schedules until the term ends. */
    readonly schedule: (ownership: Ownership) => Promise<void>;
};

/**
 * Follows who owns the schedule, and takes it when nobody does.
 *
 * @param parts - Store, peers and what to do with a term.
 * @param signal - Ends the campaign and a running term.
 */
export async function runOwnership(parts: OwnershipParts, signal: AbortSignal): Promise<void> {
    const { cluster, store } = parts;
    cluster.onOwnerDead = owner => void endDeadOwner(parts, owner);
    while (!signal.aborted) {
        // A list tells the store's revision; the record's own may be older than the kept history.
        const seen = await store.list(storeKeys.owner);
        if (seen.isErr()) {
            await pause(STORE_RETRY_MS, signal);
            continue;
        }
        const record = seen.value.items.find(item => item.key === storeKeys.owner);
        if (record === undefined) {
            await pause(Math.random() * CLAIM_JITTER_MS, signal);
            await claim(parts, signal);
            continue;
        }
        noteRecord(cluster, record);
        await waitForChange(parts, { owner: record.revision, store: seen.value.revision }, signal);
    }
}

/** Revisions at which the owner's record was read. */
type Reading = { readonly owner: number; readonly store: number };

async function waitForChange(
    { store, cluster }: OwnershipParts,
    reading: Reading,
    signal: AbortSignal,
): Promise<void> {
    let revision = reading.store;
    while (!signal.aborted) {
        const changed = await store.watch(storeKeys.owner, revision, MAX_WATCH_WAIT_MS, signal);
        if (changed.isErr()) {
            await pause(STORE_RETRY_MS, signal);
            return;
        }
        if (changed.value.events.length > 0 || (cluster.owner?.revision ?? 0) > reading.owner) {
            return;
        }
        revision = changed.value.revision;
    }
}

function noteRecord(cluster: Cluster, item: StoreItem): void {
    const record = fromBinary(OwnerRecordSchema, item.value);
    noteOwner(cluster, { node: record.node, address: record.peerAddress, revision: item.revision });
}

/** Ending the lease of a dead process frees the ownership before the lease would run out. */
async function endDeadOwner({ cluster, store }: OwnershipParts, owner: OwnerBelief): Promise<void> {
    const seen = await store.read(storeKeys.owner);
    if (seen.isErr() || seen.value?.revision !== owner.revision) {
        return;
    }
    const record = fromBinary(OwnerRecordSchema, seen.value.value);
    const ended = await store.endLease(record.lease as LeaseId);
    cluster.metrics.ownershipChanges.inc({ reason: "dead-owner" });
    cluster.log.warn("The lease of a dead owner is ended.", { owner: owner.node, result: ended.isOk() });
}

async function claim(parts: OwnershipParts, signal: AbortSignal): Promise<void> {
    const { cluster, store } = parts;
    const [lease, term] = await Promise.all([
        store.grantLease(OWNER_LEASE_TTL_MS),
        store.read(storeKeys.term),
    ]);
    if (lease.isErr() || term.isErr()) {
        await pause(STORE_RETRY_MS, signal);
        return;
    }
    const grantedAt = cluster.clock();
    const terms = term.value === undefined ? 0 : fromBinary(TermRecordSchema, term.value.value).term;
    const record = create(OwnerRecordSchema, {
        node: cluster.node,
        peerAddress: cluster.address,
        term: terms,
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
                value: toBinary(TermRecordSchema, create(TermRecordSchema, { term: terms + 1 })),
            },
        ],
        removals: [],
    });
    if (written.isErr()) {
        cluster.log.info("The ownership is not taken.", { reason: written.error.kind });
        // An unclear claim that took effect ends with its lease.
        await store.endLease(lease.value.id);
        return;
    }
    await runTerm(parts, { lease: lease.value, term: terms, revision: written.value, grantedAt }, signal);
}

type Term = {
    readonly lease: StoreLease;
    readonly term: number;
    readonly revision: number;
    readonly grantedAt: number;
};

async function runTerm(parts: OwnershipParts, term: Term, signal: AbortSignal): Promise<void> {
    const { cluster, store } = parts;
    const end = new AbortController();
    // Every worker and every running task of the term waits on the signal.
    setMaxListeners(0, end.signal);
    const resign = (reason: string): void => {
        if (!end.signal.aborted) {
            cluster.metrics.ownershipChanges.inc({ reason: "resigned" });
            cluster.log.warn("The term ends.", { revision: term.revision, reason });
            end.abort();
        }
    };
    const stop = (): void => resign("The daemon stops.");
    signal.addEventListener("abort", stop);
    cluster.metrics.ownershipChanges.inc({ reason: "taken" });
    cluster.metrics.owner.set(1);
    cluster.log.info("The ownership is taken.", { revision: term.revision, term: term.term });
    noteOwner(cluster, { node: cluster.node, address: cluster.address, revision: term.revision });
    const ownership = {
        key: storeKeys.owner,
        revision: term.revision,
        term: term.term,
        signal: end.signal,
        resign,
    };
    try {
        await Promise.all([parts.schedule(ownership), renewTerm(parts, term, ownership)]);
    }
    finally {
        signal.removeEventListener("abort", stop);
        cluster.metrics.owner.set(0);
        await store.endLease(term.lease.id);
    }
}

async function renewTerm(parts: OwnershipParts, term: Term, ownership: Ownership): Promise<void> {
    const { cluster, store } = parts;
    let validUntil = term.grantedAt + term.lease.ttlMs;
    let pauseMs = LEASE_RENEWAL_INTERVAL_MS;
    while (!ownership.signal.aborted) {
        await pause(pauseMs, ownership.signal);
        const sentAt = cluster.clock();
        const renewed = await store.renewLease(term.lease.id);
        pauseMs = renewed.isOk() ? LEASE_RENEWAL_INTERVAL_MS : STORE_RETRY_MS;
        if (renewed.isOk()) {
            validUntil = sentAt + term.lease.ttlMs;
        }
        else if (renewed.error.kind === "lease-ended") {
            ownership.resign("The store lease has ended.");
        }
        if ((cluster.owner?.revision ?? 0) > term.revision) {
            ownership.resign("A peer knows a newer owner.");
        }
        const overdueMs = cluster.clock() - validUntil;
        if (overdueMs > 0 && (isAlone(cluster) || overdueMs > DETACHED_LIMIT_MS)) {
            ownership.resign("The store lease could not be renewed in time.");
        }
    }
}
