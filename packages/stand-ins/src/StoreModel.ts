import { CHANGE_LOG_LENGTH, MAX_VALUE_BYTES } from "./constants.js";

/** A value of the store. */
export type StoredValue = {
    readonly key: string;
    readonly value: Uint8Array;
    /** Revision of the last write; revisions grow over the whole store. */
    readonly revision: number;
    readonly lease: string | undefined;
};

/** One write or removal. */
export type Change = {
    readonly key: string;
    readonly revision: number;
    /** Absent if the value was removed. */
    readonly value: Uint8Array | undefined;
};

/** Result of a compare-and-swap. */
export type Swap =
    | { readonly kind: "done"; readonly revision: number }
    | { readonly kind: "conflict"; readonly revision: number }
    | { readonly kind: "no-lease" }
    | { readonly kind: "too-large" };

/** Changes after a revision. */
export type Changes =
    | { readonly kind: "changes"; readonly revision: number; readonly changes: readonly Change[] }
    | { readonly kind: "compacted"; readonly revision: number };

type Lease = { readonly ttlMs: number; expiresAt: number; readonly keys: Set<string> };

/**
 * The store's values and leases in memory.
 *
 * @example
 * const model = new StoreModel(() => Date.now());
 */
export class StoreModel {
    private readonly values = new Map<string, StoredValue>();
    private readonly leases = new Map<string, Lease>();
    private readonly log: Change[] = [];
    private readonly waiters = new Set<() => void>();
    private revision = 0;
    private leaseCount = 0;
    private compacted = 0;

    /**
     * Creates an empty store.
     *
     * @param clock - Returns the time in milliseconds.
     */
    constructor(private readonly clock: () => number) {}

    /** Ends the leases whose time has passed, with their values. */
    expire(): void {
        for (const [id, lease] of this.leases) {
            if (lease.expiresAt <= this.clock()) {
                this.revoke(id);
            }
        }
    }

    /** Ends a lease; false if it does not exist. */
    revoke(id: string): boolean {
        const lease = this.leases.get(id);
        this.leases.delete(id);
        for (const key of lease?.keys ?? []) {
            this.remove(key);
        }
        return lease !== undefined;
    }

    /** Writes a value if its revision is as expected; `undefined` expects nothing. */
    swap(key: string, value: Uint8Array, expected: number | undefined, leaseId?: string): Swap {
        this.expire();
        const previous = this.values.get(key);
        const actual = previous?.revision ?? 0;
        if (expected !== undefined && expected !== actual) {
            return { kind: "conflict", revision: actual };
        }
        if (value.length > MAX_VALUE_BYTES) {
            return { kind: "too-large" };
        }
        if (leaseId !== undefined && !this.leases.has(leaseId)) {
            return { kind: "no-lease" };
        }
        this.detach(previous);
        this.revision += 1;
        this.values.set(key, { key, value, revision: this.revision, lease: leaseId });
        if (leaseId !== undefined) {
            this.leases.get(leaseId)!.keys.add(key);
        }
        this.record({ key, revision: this.revision, value });
        return { kind: "done", revision: this.revision };
    }

    /** Returns a value. */
    get(key: string): StoredValue | undefined {
        this.expire();
        return this.values.get(key);
    }

    /** Returns all values below a prefix. */
    list(prefix: string): { readonly revision: number; readonly values: readonly StoredValue[] } {
        this.expire();
        const values = [...this.values.values()].filter(entry => entry.key.startsWith(prefix));
        return { revision: this.revision, values };
    }

    /** Removes a value if its revision is as expected. */
    removeIf(key: string, expected: number): Swap {
        this.expire();
        const actual = this.values.get(key)?.revision ?? 0;
        if (actual !== expected) {
            return { kind: "conflict", revision: actual };
        }
        this.remove(key);
        return { kind: "done", revision: this.revision };
    }

    /** Opens a lease. */
    grant(ttlMs: number): string {
        this.leaseCount += 1;
        const id = `lease-${this.leaseCount}`;
        this.leases.set(id, { ttlMs, expiresAt: this.clock() + ttlMs, keys: new Set() });
        return id;
    }

    /** Renews a lease; false if it has ended. */
    renew(id: string): boolean {
        this.expire();
        const lease = this.leases.get(id);
        if (lease !== undefined) {
            lease.expiresAt = this.clock() + lease.ttlMs;
        }
        return lease !== undefined;
    }

    /** Returns the changes below a prefix after a revision. */
    changes(prefix: string, after: number): Changes {
        this.expire();
        if (after < this.compacted) {
            return { kind: "compacted", revision: this.revision };
        }
        const changes = this.log.filter(change => change.revision > after && change.key.startsWith(prefix));
        return { kind: "changes", revision: this.revision, changes };
    }

    /** Calls `wake` after each change, until the returned function is called. */
    onChange(wake: () => void): () => void {
        this.waiters.add(wake);
        return () => this.waiters.delete(wake);
    }

    private record(change: Change): void {
        this.log.push(change);
        while (this.log.length > CHANGE_LOG_LENGTH) {
            this.compacted = this.log.shift()!.revision;
        }
        for (const wake of [...this.waiters]) {
            wake();
        }
    }

    private remove(key: string): void {
        const previous = this.values.get(key);
        if (previous === undefined) {
            return;
        }
        this.values.delete(key);
        this.detach(previous);
        this.revision += 1;
        this.record({ key, revision: this.revision, value: undefined });
    }

    private detach(previous: StoredValue | undefined): void {
        if (previous?.lease !== undefined) {
            this.leases.get(previous.lease)?.keys.delete(previous.key);
        }
    }
}
