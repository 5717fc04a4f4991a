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
    | { readonly kind: "done"; readonly revision: number; }
    | { readonly kind: "conflict"; readonly revision: number; }
    | { readonly kind: "no-lease"; }
    | { readonly kind: "too-large"; };

/** Changes after a revision. */
export type Changes =
    | { readonly kind: "changes"; readonly revision: number; readonly changes: readonly Change[]; }
    | { readonly kind: "compacted"; readonly revision: number; };

/** The store's values and leases in memory. */
export type StoreModel = ReturnType<typeof createStoreModel>;

type Lease = { readonly ttlMs: number; expiresAt: number; readonly keys: Set<string>; };

/**
 * Creates an empty store.
 *
 * @param clock - Returns the time in milliseconds.
 * @returns The store's operations.
 *
 * @example
 * const model = createStoreModel(() => Date.now());
 */
export function createStoreModel(clock: () => number) {
    const values = new Map<string, StoredValue>();
    const leases = new Map<string, Lease>();
    const log: Change[] = [];
    const waiters = new Set<() => void>();
    let revision = 0;
    let leaseCount = 0;
    let compacted = 0;

    function record(change: Change): void {
        log.push(change);
        while (log.length > CHANGE_LOG_LENGTH) {
            compacted = log.shift()!.revision;
        }
        for (const wake of [...waiters]) {
            wake();
        }
    }

    function remove(key: string): void {
        const previous = values.get(key);
        if (previous === undefined) {
            return;
        }
        values.delete(key);
        detach(previous);
        revision += 1;
        record({ key, revision, value: undefined });
    }

    function detach(previous: StoredValue | undefined): void {
        if (previous?.lease !== undefined) {
            leases.get(previous.lease)?.keys.delete(previous.key);
        }
    }

    function expire(): void {
        for (const [id, lease] of leases) {
            if (lease.expiresAt <= clock()) {
                revoke(id);
            }
        }
    }

    function revoke(id: string): boolean {
        const lease = leases.get(id);
        leases.delete(id);
        for (const key of lease?.keys ?? []) {
            remove(key);
        }
        return lease !== undefined;
    }

    function swap(key: string, value: Uint8Array, expected: number | undefined, leaseId?: string): Swap {
        expire();
        const previous = values.get(key);
        const actual = previous?.revision ?? 0;
        if (expected !== undefined && expected !== actual) {
            return { kind: "conflict", revision: actual };
        }
        if (value.length > MAX_VALUE_BYTES) {
            return { kind: "too-large" };
        }
        if (leaseId !== undefined && !leases.has(leaseId)) {
            return { kind: "no-lease" };
        }
        detach(previous);
        revision += 1;
        values.set(key, { key, value, revision, lease: leaseId });
        if (leaseId !== undefined) {
            leases.get(leaseId)!.keys.add(key);
        }
        record({ key, revision, value });
        return { kind: "done", revision };
    }

    return {
        expire,
        revoke,
        swap,
        get(key: string): StoredValue | undefined {
            expire();
            return values.get(key);
        },
        list(prefix: string): { readonly revision: number; readonly values: readonly StoredValue[]; } {
            expire();
            return { revision, values: [...values.values()].filter(entry => entry.key.startsWith(prefix)) };
        },
        removeIf(key: string, expected: number): Swap {
            expire();
            const actual = values.get(key)?.revision ?? 0;
            if (actual !== expected) {
                return { kind: "conflict", revision: actual };
            }
            remove(key);
            return { kind: "done", revision };
        },
        grant(ttlMs: number): string {
            leaseCount += 1;
            const id = `lease-${leaseCount}`;
            leases.set(id, { ttlMs, expiresAt: clock() + ttlMs, keys: new Set() });
            return id;
        },
        renew(id: string): boolean {
            expire();
            const lease = leases.get(id);
            if (lease !== undefined) {
                lease.expiresAt = clock() + lease.ttlMs;
            }
            return lease !== undefined;
        },
        changes(prefix: string, after: number): Changes {
            expire();
            if (after < compacted) {
                return { kind: "compacted", revision };
            }
            const changes = log.filter(change => change.revision > after && change.key.startsWith(prefix));
            return { kind: "changes", revision, changes };
        },
        onChange(wake: () => void): () => void {
            waiters.add(wake);
            return () => waiters.delete(wake);
        },
    };
}
