import type { Identifier } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";

export type JobId = Identifier<"JobId">;
export type NodeId = Identifier<"NodeId">;
export type QueueName = Identifier<"QueueName">;
export type WorkerId = Identifier<"WorkerId">;

/** Identifies one task: its job, the occurrence of the job, the step and the task's index in the step. */
export type TaskName = {
    readonly job: JobId;
    /** Number of the job's scheduled occurrence, counted from 0. */
    readonly occurrence: number;
    readonly step: number;
    readonly index: number;
};

/** Error for a text that is not a valid job id. */
export type JobIdError = { readonly kind: "bad-job-id"; readonly message: string };

const JOB_ID_PATTERN = /^[0-9a-f]{16}$/;

/**
 * Parses the id of a job.
 *
 * @param text - The text to parse.
 * @returns The id, or the error `bad-job-id`.
 *
 * @example
 * parseJobId("5c0e7a21d94b36f8").isOk(); // true
 */
export function parseJobId(text: string): Result<JobId, JobIdError> {
    return JOB_ID_PATTERN.test(text)
        ? ok(text as JobId)
        : err({
            kind: "bad-job-id",
            message: "A job's id consists of 16 lower-case hexadecimal digits. Send an id of this form.",
        });
}
