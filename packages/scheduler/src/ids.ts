import type { Identifier } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

export type JobId = Identifier<"JobId">;
export type NodeId = Identifier<"NodeId">;
export type QueueName = Identifier<"QueueName">;
export type WorkerId = Identifier<"WorkerId">;

/** Names one task: a member of a step of one occurrence of a job. */
export type TaskName = {
    readonly job: JobId;
    /** Number of the scheduled occurrence, from 0. */
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
};

/** Text that is not the id of a job. */
export type JobIdError = { readonly kind: "bad-job-id"; readonly message: string };

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/**
 * Returns a text as the id of a job.
 *
 * @param text - The text.
 * @returns The id, or `bad-job-id`.
 *
 * @example
 * parseJobId("5c0e7a21d94b36f8").isOk(); // true
 */
export function parseJobId(text: string): Result<JobId, JobIdError> {
    return JOB_ID_PATTERN.test(text)
        ? ok(text as JobId)
        : err({
            kind: "bad-job-id",
            message: "A job's id has 16 lower-case hexadecimal digits. Send such an id.",
        });
}
