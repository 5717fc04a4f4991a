import type { FleetConfiguration, Queue, QueueName } from "@balsamward/scheduler";
import type { JobKind, Workload } from "./Workload.js";
import { JOB_KINDS } from "./Workload.js";

/** Service of all offline workers. */
export const OFFLINE_SERVICE = "service";

/**
 * Creates the configuration for the jobs of a trace.
 *
 * @param workload - The workload of the trace.
 * @returns A configuration with one queue for each kind of job, the urgent ones first, and customers that have no
 * guarantee.
 */
export function createOfflineConfiguration({ shapes, customerSizes }: Workload): FleetConfiguration {
    return {
        version: 1,
        queues: JOB_KINDS.map((kind, priority) => createQueue(kind, priority, shapes[kind])),
        customers: customerSizes.map((_, number) => ({
            name: getOfflineCustomer(number),
            keys: [],
            guaranteedAccelerators: 0,
        })),
        services: [{ name: OFFLINE_SERVICE, checksAdmission: true, standby: false }],
        maxBodyBytes: 1_000_000,
    };
}

/**
 * Returns the name of a customer of a trace.
 *
 * @param number - The number of the customer, from 0.
 * @returns The name.
 */
export function getOfflineCustomer(number: number): string {
    return `customer-${number}`;
}

function createQueue(
    kind: JobKind,
    priority: number,
    { stretch, objectiveMs }: Workload["shapes"][JobKind],
): Queue {
    return {
        name: kind as string as QueueName,
        host: "host",
        prefix: `/${kind}/`,
        service: OFFLINE_SERVICE,
        priority: priority + 1,
        attempts: 2,
        stretch,
        objectiveMs,
        open: true,
        advice: undefined,
    };
}
