import { MemberRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import { decodeRecord } from "../_lib/decodeRecord.js";
import { sample } from "../_lib/sample.js";
import { MEMBER_LEASE_TTL_MS, STORE_RETRY_MS } from "../constants.js";
import { pause } from "../pause.js";
import type { FleetStore, LeaseId } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import type { Cluster } from "./Cluster.js";

/** Number of renewals of a member's lease within its time to live. */
const RENEWALS_PER_LEASE = 3;

/**
 * Registers this daemon as a member in the store, and adds the other members as peers, until the signal aborts.
 *
 * @param cluster - This daemon's view of the cluster.
 * @param store - The store.
 * @param signal - Ends the membership; the member's lease is ended then.
 */
export async function runMembership(cluster: Cluster, store: FleetStore, signal: AbortSignal): Promise<void> {
    let lease: LeaseId | undefined;
    let ignoredRevisions: ReadonlySet<number> = new Set();
    while (!signal.aborted) {
        lease = lease === undefined
            ? await registerMember(cluster, store)
            : await renewMemberLease(store, lease);
        ignoredRevisions = await addMembersAsPeers(cluster, store, ignoredRevisions);
        await pause(lease === undefined ? STORE_RETRY_MS : MEMBER_LEASE_TTL_MS / RENEWALS_PER_LEASE, signal);
    }
    if (lease !== undefined) {
        await store.endLease(lease);
    }
}

async function registerMember(cluster: Cluster, store: FleetStore): Promise<LeaseId | undefined> {
    const lease = await store.grantLease(MEMBER_LEASE_TTL_MS);
    if (lease.isErr()) {
        return undefined;
    }
    const record = create(MemberRecordSchema, { node: cluster.node, peerAddress: cluster.address });
    const written = await store.commit({
        expect: [],
        puts: [{
            key: storeKeys.member(cluster.node),
            value: toBinary(MemberRecordSchema, record),
            lease: lease.value.id,
        }],
        removals: [],
    });
    return written.isOk() ? lease.value.id : undefined;
}

async function renewMemberLease(store: FleetStore, lease: LeaseId): Promise<LeaseId | undefined> {
    const renewed = await store.renewLease(lease);
    return renewed.isErr() && renewed.error.kind === "lease-ended" ? undefined : lease;
}

/**
 * Adds the listed members as peers, except those of which the record cannot be used, whose revisions are returned;
 * each is counted and logged once.
 */
async function addMembersAsPeers(
    cluster: Cluster,
    store: FleetStore,
    ignoredBefore: ReadonlySet<number>,
): Promise<ReadonlySet<number>> {
    const members = await store.list(storeKeys.memberPrefix, { stale: true });
    if (members.isErr()) {
        cluster.log.debug("The members cannot be listed.", { reason: members.error.kind });
        return ignoredBefore;
    }
    const ignored = new Set<number>();
    // In random order: in a large cluster, the first peers that a daemon knows are called before the others.
    for (const item of sample(members.value.items, members.value.items.length, Math.random)) {
        const record = ignoredBefore.has(item.revision)
            ? undefined
            : decodeRecord(cluster, MemberRecordSchema, item);
        if (record === undefined) {
            ignored.add(item.revision);
        }
        else {
            cluster.addPeer(record.peerAddress, record.node);
        }
    }
    return ignored;
}
