import type { RawWrite, StoreError, StoreTransport } from "@balsamward/coordination";
import { StoreModel } from "@balsamward/stand-ins";
import type { ResultAsync } from "neverthrow";
import { errAsync, okAsync } from "neverthrow";

/** What happens to one call of the store. */
export type StoreFault =
    | "none"
    /** The call takes no effect, and the caller knows it. */
    | "down"
    /** The write takes effect and its answer is lost. */
    | "lost-answer"
    /** The write takes no effect, and the caller does not know it. */
    | "lost-call"
    /** The write takes effect after the caller's next call. */
    | "late";

/** A store in memory whose faults are scripted call by call. */
export class MemoryStore {
    readonly model: StoreModel;
    /** Faults of the next writes; writes after them have none. */
    faults: StoreFault[] = [];
    /** Whether every call fails without effect. */
    down = false;
    writes = 0;
    private late: (() => void)[] = [];

    /** Creates a store on a logical clock in milliseconds. */
    constructor(clock: () => number) {
        this.model = new StoreModel(clock);
    }

    /** Returns the calls of the service. */
    transport(): StoreTransport {
        const read = <T>(value: () => T): ResultAsync<T, StoreError> => {
            const result = this.down
                ? errAsync<T, StoreError>(unavailable())
                : okAsync<T, StoreError>(value());
            this.late.splice(0).forEach(effect => effect());
            return result;
        };
        return {
            get: key =>
                read(() => {
                    const entry = this.model.get(key);
                    return entry && { key, revision: entry.revision, bytes: entry.value };
                }),
            list: prefix =>
                read(() => {
                    const { revision, values } = this.model.list(prefix);
                    return { revision, values: values.map(entry => ({ ...entry, bytes: entry.value })) };
                }),
            write: write => this.write(write),
            remove: (key, expected) =>
                read(() => {
                    this.model.removeIf(key, expected);
                }),
            grantLease: ttlMs => read(() => this.model.grant(ttlMs)),
            renewLease: lease =>
                this.down
                    ? errAsync(unavailable())
                    : this.model.renew(lease)
                    ? okAsync(undefined)
                    : errAsync({ kind: "lease-lost", message: "The lease has ended." }),
            revokeLease: lease =>
                read(() => {
                    this.model.revoke(lease);
                }),
            waitForChanges: () => errAsync(unavailable()),
        };
    }

    private write(write: RawWrite): ResultAsync<number, StoreError> {
        this.writes += 1;
        const fault = this.down ? "down" : this.faults.shift() ?? "none";
        const unclear = errAsync<number, StoreError>({ kind: "unclear", message: "The answer is lost." });
        switch (fault) {
            case "none":
                return this.swap(write);
            case "down":
                return errAsync(unavailable());
            case "lost-answer":
                void this.swap(write);
                return unclear;
            case "lost-call":
                return unclear;
            case "late":
                this.late.push(() => void this.swap(write));
                return unclear;
            default:
                return fault satisfies never;
        }
    }

    private swap(
        { key, bytes, expectedRevision: expected, lease }: RawWrite,
    ): ResultAsync<number, StoreError> {
        const swap = this.model.swap(key, bytes, expected, lease);
        return swap.kind === "done"
            ? okAsync(swap.revision)
            : swap.kind === "conflict"
            ? errAsync({ kind: "conflict", message: "The value has changed.", revision: swap.revision })
            : errAsync({ kind: "lease-lost", message: "The lease has ended." });
    }
}

function unavailable(): StoreError {
    return { kind: "unavailable", message: "The store is down." };
}
