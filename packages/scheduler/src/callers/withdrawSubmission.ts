import { CancellationRecordSchema } from "@balsamward/schema/scheduling";
import { create, toBinary } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err } from "neverthrow";
import type { JobId } from "../ids.js";
import type { StoreError } from "../ports/FleetStore.js";
import { storeKeys } from "../storeKeys.js";
import { awaitWithinBounds } from "./awaitWithinBounds.js";
import type { CallBounds } from "./CallBounds.js";
import type { CallContext } from "./CallContext.js";
import { commitWithRetries } from "./commitWithRetries.js";

/** Error of a withdrawal that was not begun. */
const NOT_BEGUN: StoreError = {
    kind: "unavailable",
    message: "The withdrawal is not stored. Store it later.",
};

/** A job that a customer cancels and that is not stored for this customer. */
export type UnstoredJob = {
    readonly id: JobId;
    readonly customer: string;
    /** Store revision of the job of another customer that has the id; 0 if there is none. */
    readonly otherRevision: number;
};

/**
 * Prevents a job that is not stored from being stored.
 *
 * An unanswered write of a submission may still be carried out, and a request that submits the job may still arrive.
 * Both fail as long as the withdrawal is stored, since each acceptance expects that there is none. Its key names the
 * customer: the job that another customer submits under the same id is not affected. The store removes it after some
 * minutes, long after the last write that it may have to prevent.
 *
 * @param context - The services that the call uses.
 * @param job - The job.
 * @param bounds - The deadline, and the signal on which the outcome is reported by what is known.
 * @returns The revision of the withdrawal, or an error: `conflict` if a job has been stored under the id, or that of
 * another customer removed; `lease-ended` if the withdrawal has to be tried again; `unclear`; or any other error if
 * nothing is stored.
 */
export async function withdrawSubmission(
    context: CallContext,
    { id, customer, otherRevision }: UnstoredJob,
    bounds: CallBounds,
): Promise<Result<number, StoreError>> {
    const { withdrawalLease } = context;
    const lease = await awaitWithinBounds(context, withdrawalLease.get(), bounds, () => err(NOT_BEGUN));
    if (lease.isErr()) {
        return err({ ...NOT_BEGUN, message: lease.error.message });
    }
    const record = create(CancellationRecordSchema, { job: id });
    const committed = await commitWithRetries(context, {
        expect: [{ key: storeKeys.job(id), revision: otherRevision }],
        puts: [{
            key: storeKeys.withdrawal(id, customer),
            value: toBinary(CancellationRecordSchema, record),
            lease: lease.value,
        }],
        removals: [],
    }, bounds);
    if (committed.isErr() && committed.error.kind === "lease-ended") {
        withdrawalLease.discard(lease.value);
    }
    return committed;
}
