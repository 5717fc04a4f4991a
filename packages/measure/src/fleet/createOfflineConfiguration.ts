import type { FleetConfiguration, Queue, QueueName } from "@balsamward/scheduler";
import type { JobKind } from "./generateTrace.js";
import { JOB_KINDS } from "./generateTrace.js";

/** Service of all offline workers. */
export const OFFLINE_SERVICE = "service";

/** Customer of all jobs of a trace; it has no guarantee. */
export const OFFLINE_CUSTOMER = "customer";

/** Target duration of a job, as a multiple of its longest chain of work. */
const STRETCH = 2;

/** Time added to the target duration by kind, in milliseconds. */
const OBJECTIVES_MS: Readonly<Record<JobKind, number>> = { urgent: 250, gang: 1_000, wide: 3_000 };

/**
 * Creates the configuration for the jobs of a trace.
 *
 * @returns A configuration with one queue for each kind of job, the urgent ones first.
 */
export function createOfflineConfiguration(): FleetConfiguration {
    return {
        version: 1,
        queues: JOB_KINDS.map(createQueue),
        customers: [{ name: OFFLINE_CUSTOMER, keys: [], guaranteedAccelerators: 0 }],
        services: [{ name: OFFLINE_SERVICE, checksAdmission: true, standby: false }],
        maxBodyBytes: 1_000_000,
    };
}

function createQueue(kind: JobKind, priority: number): Queue {
    return {
        name: kind as string as QueueName,
        host: "host",
        prefix: `/${kind}/`,
        service: OFFLINE_SERVICE,
        priority: priority + 1,
        attempts: 2,
        stretch: STRETCH,
        objectiveMs: OBJECTIVES_MS[kind],
        open: true,
        advice: undefined,
    };
}
