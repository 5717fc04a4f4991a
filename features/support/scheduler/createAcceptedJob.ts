import type { FleetConfiguration, Queue } from "@balsamward/scheduler";
import type { Job } from "@balsamward/schema/scheduling";
import { JobSchema, ScheduleSchema, StepSchema } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create } from "@bufbuild/protobuf";
import { encodeQueueTerms } from "../../../packages/scheduler/src/state/encodeQueueTerms.js";
import { createTestConfiguration } from "../createTestConfiguration.js";

/** Options of `createAcceptedJob`. */
export type CreateAcceptedJobOptions = {
    /** Text that is passed to the tasks. */
    readonly spec?: string | undefined;
    readonly schedule?: MessageInitShape<typeof ScheduleSchema> | undefined;
    /** Whether the accepting daemon is of a build that stores neither a term nor the terms of the queue with a job. */
    readonly withoutTerm?: boolean | undefined;
};

/** What a caller submits, and what the accepting daemon knows. */
export type Submission = {
    readonly id: string;
    readonly queue: string;
    readonly customer: string;
    readonly steps: readonly MessageInitShape<typeof StepSchema>[];
    readonly acceptedAtMs: number;
    readonly termRevision: number;
    readonly configuration: FleetConfiguration;
};

/**
 * Creates the record of a job, as a daemon does that accepts it.
 *
 * @param submission - The submission. The daemon also knows the queues of the test configuration.
 * @param options - The spec, the schedule, and whether the daemon is of an earlier build.
 * @returns The job.
 */
export function createAcceptedJob(
    { id, queue, customer, steps, acceptedAtMs, termRevision, configuration }: Submission,
    { spec = "spec", schedule, withoutTerm = false }: CreateAcceptedJobOptions = {},
): Job {
    return create(JobSchema, {
        id,
        queue,
        customer,
        spec,
        steps: steps.map(step => create(StepSchema, step)),
        acceptedAtMs,
        ...(withoutTerm
            ? {}
            : {
                termRevision,
                terms: encodeQueueTerms(findQueue(configuration, queue)),
                termsVersion: configuration.version,
            }),
        ...(schedule === undefined ? {} : { schedule: create(ScheduleSchema, schedule) }),
    });
}

function findQueue({ queues }: FleetConfiguration, name: string): Queue {
    return [...queues, ...createTestConfiguration().queues].find(queue => queue.name === name)!;
}
