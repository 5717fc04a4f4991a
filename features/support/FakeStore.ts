import type { RawWrite, StoreError, StoreTransport } from "@balsamward/coordination";
import { StoreModel } from "@balsamward/stand-ins";
import type { ResultAsync } from "neverthrow";
import { errAsync, okAsync } from "neverthrow";

/** A fault injected into one write. */
export type StoreFault =
    | "none"
    /** The write has no effect, and the caller gets an error that says so. */
    | "down"
    /** The write takes effect, and the caller gets an unclear result. */
    | "lost-answer"
    /** The write has no effect, and the caller gets an unclear result. */
    | "lost-call"
    /** The caller gets an unclear result; the write takes effect after the next call that is no write or renewal. */
    | "late";

/** A fake key-value store in memory whose tests inject a fault into each write. */
export class FakeStore {
    readonly model: StoreModel;
    /** Faults of the next writes, in order; later writes have none. */
    writeFaults: StoreFault[] = [];
    /** Whether every call fails without effect. */
    isDown = false;
    /** Number of writes, including failed ones. */
    writeCount = 0;
    private delayedWrites: (() => void)[] = [];

    /**
     * Creates an empty store.
     *
     * @param clock - Returns the time in milliseconds.
     */
    constructor(clock: () => number) {
        this.model = new StoreModel(clock);
    }

    /** Creates the transport through which a client calls the store. */
    createTransport(): StoreTransport {
        const call = <T>(operation: () => T): ResultAsync<T, StoreError> => {
            const result = this.isDown
                ? errAsync<T, StoreError>(createUnavailableError())
                : okAsync<T, StoreError>(operation());
            this.delayedWrites.splice(0).forEach(write => write());
            return result;
        };
        return {
            get: key =>
                call(() => {
                    const entry = this.model.get(key);
                    return entry && { key, revision: entry.revision, bytes: entry.value };
                }),
            list: prefix =>
                call(() => {
                    const { revision, values } = this.model.list(prefix);
                    return { revision, values: values.map(entry => ({ ...entry, bytes: entry.value })) };
                }),
            write: write => this.write(write),
            remove: (key, expected) =>
                call(() => {
                    this.model.compareAndRemove(key, expected);
                }),
            grantLease: ttlMs => call(() => this.model.grantLease(ttlMs)),
            renewLease: lease =>
                this.isDown
                    ? errAsync(createUnavailableError())
                    : this.model.renewLease(lease)
                    ? okAsync(undefined)
                    : errAsync({
                        kind: "lease-lost",
                        message: "The lease no longer exists. Request a new one.",
                    }),
            revokeLease: lease =>
                call(() => {
                    this.model.revokeLease(lease);
                }),
            waitForChanges: () => errAsync(createUnavailableError()),
        };
    }

    private write(write: RawWrite): ResultAsync<number, StoreError> {
        this.writeCount += 1;
        const fault = this.isDown ? "down" : this.writeFaults.shift() ?? "none";
        const unclearError = errAsync<number, StoreError>({
            kind: "unclear",
            message: "The response to the write is lost. Read the value back.",
        });
        switch (fault) {
            case "none":
                return this.compareAndSwap(write);
            case "down":
                return errAsync(createUnavailableError());
            case "lost-answer":
                void this.compareAndSwap(write);
                return unclearError;
            case "lost-call":
                return unclearError;
            case "late":
                this.delayedWrites.push(() => void this.compareAndSwap(write));
                return unclearError;
            default:
                return fault satisfies never;
        }
    }

    private compareAndSwap(
        { key, bytes, expectedRevision: expected, lease }: RawWrite,
    ): ResultAsync<number, StoreError> {
        const result = this.model.compareAndSwap(key, bytes, expected, lease);
        return result.kind === "done"
            ? okAsync(result.revision)
            : result.kind === "conflict"
            ? errAsync({
                kind: "conflict",
                message: "The value has changed since it was read. Read it again.",
                revision: result.revision,
            })
            : errAsync({ kind: "lease-lost", message: "The lease no longer exists. Request a new one." });
    }
}

function createUnavailableError(): StoreError {
    return { kind: "unavailable", message: "The store is down. Try again later." };
}
