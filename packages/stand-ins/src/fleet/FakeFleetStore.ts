import type {
    FleetStore,
    LeaseId,
    StoreError,
    StoreEvent,
    StoreItem,
    StoreTransaction,
} from "@balsamward/scheduler";
import type { Result } from "neverthrow";
import { err, ok, ResultAsync } from "neverthrow";
import { MAX_VALUE_BYTES } from "../constants.js";

/** A fault injected into one write. */
export type WriteFault =
    /** The write has no effect, and the caller gets an error that says so. */
    | "refused"
    /** The write has no effect, and the caller gets an error that it is malformed. */
    | "malformed"
    /** The write takes effect, and the caller gets an unclear result. */
    | "lost-answer"
    /** The caller gets an unclear result; the write takes effect at `applyDelayedTransactions`. */
    | "late"
    /** The write takes effect, and the call never returns. */
    | "silent";

type Lease = { readonly ttlMs: number; expiresAt: number };
type Row = StoreItem & { readonly lease: LeaseId | undefined };

/**
 * A fake of the platform's key-value store in memory, with transactions over several keys, leases and watches.
 *
 * @example
 * const store = new MemoryFleetStore(() => clock.now);
 * store.writeFaults.push("lost-answer");
 */
export class FakeFleetStore {
    /** Faults of the next writes, in order; later writes have none. */
    readonly writeFaults: WriteFault[] = [];
    /** Whether every call fails without effect. */
    isDown = false;
    /** Prefix of the keys whose writes are refused; `undefined` refuses none. */
    refusedWritePrefix: string | undefined;
    /** Keys whose writes are refused as malformed, with all that the same transaction contains. */
    readonly malformedKeys = new Set<string>();
    /** Whether watches deliver no events. */
    isWatchSilent = false;
    /** Number of watch calls that failed because their events were compacted. */
    compactedWatchCount = 0;
    /** Number of calls by operation; watches are not counted. */
    readonly callCounts = new Map<string, number>();
    private readonly rows = new Map<string, Row>();
    private readonly leases = new Map<LeaseId, Lease>();
    private readonly eventHistory: StoreEvent[] = [];
    private readonly delayedTransactions: StoreTransaction[] = [];
    private revision = 100;
    private leaseCount = 0;
    private compactedRevision = 0;
    private waiters: (() => void)[] = [];

    /**
     * Creates an empty store.
     *
     * @param clock - Returns the time in milliseconds.
     */
    constructor(private readonly clock: () => number) {}

    /** Creates the client through which a daemon calls the store. */
    createClient(): FleetStore {
        return {
            read: key => this.call("read", () => ok(this.get(key))),
            list: prefix =>
                this.call("list", () => ok({ items: this.listItems(prefix), revision: this.revision })),
            commit: transaction => this.commitWithFault(transaction),
            watch: (prefix, after, _waitMs, signal) => new ResultAsync(this.watch(prefix, after, signal)),
            grantLease: ttlMs => this.call("grant-lease", () => ok(this.grant(ttlMs))),
            renewLease: lease => this.call("renew-lease", () => this.renew(lease)),
            endLease: lease => this.call("end-lease", () => this.end(lease)),
        };
    }

    /** Writes a value unconditionally and without faults, as another client would; returns the new revision. */
    put(key: string, value: Uint8Array): number {
        return this.applyTransaction({ expect: [], puts: [{ key, value }], removals: [] });
    }

    /** Returns the current item of a key, without faults. */
    get(key: string): StoreItem | undefined {
        this.expireLeases();
        return this.rows.get(key);
    }

    /** Applies the transactions delayed by the fault `late`, unless their expectations no longer hold. */
    applyDelayedTransactions(): void {
        this.delayedTransactions.splice(0).forEach(transaction => {
            if (this.findConflicts(transaction).length === 0 && this.hasLeases(transaction)) {
                this.applyTransaction(transaction);
            }
        });
    }

    /** Ends all leases before their time, as a store may that was unavailable. */
    endAllLeases(): void {
        [...this.leases.keys()].forEach(id => this.end(id));
    }

    /** Compacts the event history; watches from earlier revisions fail. */
    compact(): void {
        this.compactedRevision = this.revision;
        this.wakeWatchers();
    }

    private call<T>(operation: string, action: () => Result<T, StoreError>): ResultAsync<T, StoreError> {
        this.callCounts.set(operation, (this.callCounts.get(operation) ?? 0) + 1);
        this.expireLeases();
        const result: Result<T, StoreError> = this.isDown
            ? err({ kind: "unavailable", message: "The store is down. Try again later." })
            : action();
        return new ResultAsync(Promise.resolve(result));
    }

    private commitWithFault(transaction: StoreTransaction): ResultAsync<number, StoreError> {
        const fault = this.writeFaults.shift();
        const result = this.call("commit", () => this.commit(transaction, fault));
        return fault === "silent" ? new ResultAsync(new Promise(() => {})) : result;
    }

    private commit(
        transaction: StoreTransaction,
        fault: WriteFault | undefined,
    ): Result<number, StoreError> {
        if (fault === "refused" || this.isRefused(transaction)) {
            return err({ kind: "unavailable", message: "The store refuses the write. Try again later." });
        }
        if (fault === "malformed" || this.isMalformed(transaction)) {
            return err({ kind: "invalid", message: "The store refuses a value. Check its size." });
        }
        if (fault === "late") {
            this.delayedTransactions.push(transaction);
            return err({
                kind: "unclear",
                message: "The response to the write is lost. Read the value back.",
            });
        }
        if (this.findConflicts(transaction).length > 0) {
            const items = transaction.expect.flatMap(({ key }) => this.rows.get(key) ?? []);
            return err({ kind: "conflict", message: "A value has changed. Read it again.", items });
        }
        if (!this.hasLeases(transaction)) {
            return err({ kind: "lease-ended", message: "The lease has ended. Take a new one." });
        }
        const revision = this.applyTransaction(transaction);
        return fault === "lost-answer"
            ? err({ kind: "unclear", message: "The response to the write is lost. Read the value back." })
            : ok(revision);
    }

    private isRefused({ puts }: StoreTransaction): boolean {
        const prefix = this.refusedWritePrefix;
        return prefix !== undefined && puts.some(({ key }) => key.startsWith(prefix));
    }

    private isMalformed({ puts }: StoreTransaction): boolean {
        return puts.some(({ key, value }) => value.length > MAX_VALUE_BYTES || this.malformedKeys.has(key));
    }

    private findConflicts(transaction: StoreTransaction): readonly string[] {
        return transaction.expect
            .filter(({ key, revision }) => (this.rows.get(key)?.revision ?? 0) !== revision)
            .map(({ key }) => key);
    }

    /** Returns whether all leases that a transaction names last. */
    private hasLeases({ puts }: StoreTransaction): boolean {
        return puts.every(({ lease }) => lease === undefined || this.leases.has(lease));
    }

    private applyTransaction({ puts, removals }: StoreTransaction): number {
        this.revision += 1;
        for (const { key, value, lease } of puts) {
            this.rows.set(key, { key, value, revision: this.revision, lease });
            this.eventHistory.push({ key, value, revision: this.revision });
        }
        removals.forEach(key => this.remove(key));
        this.wakeWatchers();
        return this.revision;
    }

    private remove(key: string): void {
        if (this.rows.delete(key)) {
            this.eventHistory.push({ key, value: undefined, revision: this.revision });
        }
    }

    private listItems(prefix: string): readonly StoreItem[] {
        return [...this.rows.values()].filter(({ key }) => key.startsWith(prefix));
    }

    private async watch(
        prefix: string,
        after: number,
        signal: AbortSignal,
    ): Promise<Result<{ events: readonly StoreEvent[]; revision: number }, StoreError>> {
        while (!signal.aborted && !this.isDown) {
            if (after < this.compactedRevision) {
                this.compactedWatchCount += 1;
                return err({
                    kind: "compacted",
                    message: "The events are no longer kept. List the values again.",
                });
            }
            const events = this.eventHistory.filter(event =>
                event.revision > after && event.key.startsWith(prefix)
            );
            if (events.length > 0 && !this.isWatchSilent) {
                return ok({ events, revision: this.revision });
            }
            await new Promise<void>(resolve => {
                this.waiters.push(resolve);
                signal.addEventListener("abort", () => resolve(), { once: true });
            });
        }
        return err({ kind: "unavailable", message: "The watch has ended. Start a new watch." });
    }

    private wakeWatchers(): void {
        this.waiters.splice(0).forEach(wake => wake());
    }

    private grant(ttlMs: number): { id: LeaseId; ttlMs: number } {
        this.leaseCount += 1;
        const id = String(this.leaseCount) as LeaseId;
        this.leases.set(id, { ttlMs, expiresAt: this.clock() + ttlMs });
        return { id, ttlMs };
    }

    private renew(id: LeaseId): Result<void, StoreError> {
        const lease = this.leases.get(id);
        if (lease === undefined) {
            return err({ kind: "lease-ended", message: "The lease has ended. Take a new one." });
        }
        lease.expiresAt = this.clock() + lease.ttlMs;
        return ok(undefined);
    }

    private end(id: LeaseId): Result<void, StoreError> {
        if (!this.leases.delete(id)) {
            return err({ kind: "lease-ended", message: "The lease has ended. Take a new one." });
        }
        this.revision += 1;
        [...this.rows.values()].filter(row => row.lease === id).forEach(row => this.remove(row.key));
        this.wakeWatchers();
        return ok(undefined);
    }

    private expireLeases(): void {
        for (const [id, lease] of this.leases) {
            if (lease.expiresAt <= this.clock()) {
                this.end(id);
            }
        }
    }
}
