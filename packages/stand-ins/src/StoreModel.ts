import { MAX_CHANGE_LOG_ENTRIES, MAX_VALUE_BYTES } from "./constants.js";

/** A value stored under a key. */
export type StoredValue = {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the last write. One counter numbers the writes of the whole store. */
    readonly revision: number;
    /** Lease that the value is removed with, if any. */
    readonly lease: string | undefined;
};

/** One write or removal of a value. */
export type Change = {
    readonly key: string;
    readonly revision: number;
    /** New value, or `undefined` if the value was removed. */
    readonly value: Uint8Array | undefined;
};

/** Result of a conditional write or removal; a conflict reports the current revision of the key. */
export type SwapResult =
    | { readonly kind: "done"; readonly revision: number }
    | { readonly kind: "conflict"; readonly revision: number }
    | { readonly kind: "no-lease" }
    | { readonly kind: "too-large" };

/** Changes after a revision, or the fact that older ones were dropped from the change log. */
export type ChangesResult =
    | { readonly kind: "changes"; readonly revision: number; readonly changes: readonly Change[] }
    | { readonly kind: "compacted"; readonly revision: number };

type Lease = { readonly ttlMs: number; expiresAt: number; readonly keys: Set<string> };

/**
 * Keeps the values, leases and change log of the fake key-value store in memory.
 *
 * @example
 * const model = new StoreModel(() => Date.now());
 */
export class StoreModel {
    private readonly values = new Map<string, StoredValue>();
    private readonly leases = new Map<string, Lease>();
    private readonly changeLog: Change[] = [];
    private readonly listeners = new Set<() => void>();
    private revision = 0;
    private leaseCount = 0;
    private compactedRevision = 0;

    /**
     * Creates an empty store.
     *
     * @param clock - Returns the time in milliseconds.
     */
    constructor(private readonly clock: () => number) {}

    /** Revokes the leases whose time to live has passed. */
    expireLeases(): void {
        for (const [id, lease] of this.leases) {
            if (lease.expiresAt <= this.clock()) {
                this.revokeLease(id);
            }
        }
    }

    /** Ends a lease and removes its values; returns false if the lease does not exist. */
    revokeLease(id: string): boolean {
        const lease = this.leases.get(id);
        this.leases.delete(id);
        for (const key of lease?.keys ?? []) {
            this.remove(key);
        }
        return lease !== undefined;
    }

    /**
     * Writes a value if the current revision of its key is the expected one.
     *
     * @param key - The key.
     * @param value - The bytes to write.
     * @param expectedRevision - The expected revision; 0 expects no value, `undefined` writes unconditionally.
     * @param leaseId - The lease that the value is removed with, if any.
     * @returns The new revision, or why nothing was written.
     */
    compareAndSwap(
        key: string,
        value: Uint8Array,
        expectedRevision: number | undefined,
        leaseId?: string,
    ): SwapResult {
        this.expireLeases();
        const previous = this.values.get(key);
        const currentRevision = previous?.revision ?? 0;
        if (expectedRevision !== undefined && expectedRevision !== currentRevision) {
            return { kind: "conflict", revision: currentRevision };
        }
        if (value.length > MAX_VALUE_BYTES) {
            return { kind: "too-large" };
        }
        if (leaseId !== undefined && !this.leases.has(leaseId)) {
            return { kind: "no-lease" };
        }
        this.detachFromLease(previous);
        this.revision += 1;
        this.values.set(key, { key, value, revision: this.revision, lease: leaseId });
        if (leaseId !== undefined) {
            this.leases.get(leaseId)!.keys.add(key);
        }
        this.appendChange({ key, revision: this.revision, value });
        return { kind: "done", revision: this.revision };
    }

    /** Returns the value of a key, or `undefined` if there is none. */
    get(key: string): StoredValue | undefined {
        this.expireLeases();
        return this.values.get(key);
    }

    /** Returns the values whose keys start with a prefix, and the store's current revision. */
    list(prefix: string): { readonly revision: number; readonly values: readonly StoredValue[] } {
        this.expireLeases();
        const values = [...this.values.values()].filter(entry => entry.key.startsWith(prefix));
        return { revision: this.revision, values };
    }

    /** Removes a value if its current revision is the expected one. */
    compareAndRemove(key: string, expectedRevision: number): SwapResult {
        this.expireLeases();
        const currentRevision = this.values.get(key)?.revision ?? 0;
        if (currentRevision !== expectedRevision) {
            return { kind: "conflict", revision: currentRevision };
        }
        this.remove(key);
        return { kind: "done", revision: this.revision };
    }

    /** Grants a lease with a time to live in milliseconds, and returns its id. */
    grantLease(ttlMs: number): string {
        this.leaseCount += 1;
        const id = `lease-${this.leaseCount}`;
        this.leases.set(id, { ttlMs, expiresAt: this.clock() + ttlMs, keys: new Set() });
        return id;
    }

    /** Restarts the time to live of a lease; returns false if the lease has ended. */
    renewLease(id: string): boolean {
        this.expireLeases();
        const lease = this.leases.get(id);
        if (lease !== undefined) {
            lease.expiresAt = this.clock() + lease.ttlMs;
        }
        return lease !== undefined;
    }

    /** Returns the changes after a revision to keys that start with a prefix. */
    listChanges(prefix: string, afterRevision: number): ChangesResult {
        this.expireLeases();
        if (afterRevision < this.compactedRevision) {
            return { kind: "compacted", revision: this.revision };
        }
        const changes = this.changeLog.filter(change =>
            change.revision > afterRevision && change.key.startsWith(prefix)
        );
        return { kind: "changes", revision: this.revision, changes };
    }

    /** Calls `listener` after each change, until the returned function is called. */
    onChange(listener: () => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    private appendChange(change: Change): void {
        this.changeLog.push(change);
        while (this.changeLog.length > MAX_CHANGE_LOG_ENTRIES) {
            this.compactedRevision = this.changeLog.shift()!.revision;
        }
        for (const listener of [...this.listeners]) {
            listener();
        }
    }

    private remove(key: string): void {
        const previous = this.values.get(key);
        if (previous === undefined) {
            return;
        }
        this.values.delete(key);
        this.detachFromLease(previous);
        this.revision += 1;
        this.appendChange({ key, revision: this.revision, value: undefined });
    }

    private detachFromLease(previous: StoredValue | undefined): void {
        if (previous?.lease !== undefined) {
            this.leases.get(previous.lease)?.keys.delete(previous.key);
        }
    }
}
