import type { FleetConfiguration, QueueName } from "@balsamward/scheduler";

/**
 * Creates the configuration of the scheduler tests.
 *
 * @returns A configuration with a queue of each priority, one queue that asks the advice service, and one whose
 * jobs are always late.
 */
export function createTestConfiguration(): FleetConfiguration {
    return {
        version: 1,
        queues: [
            createQueue("urgent", 0),
            createQueue("normal", 1),
            createQueue("bulk", 2),
            createAdvisedQueue(),
            createOverdueQueue(),
        ],
        customers: [
            { name: "ana", keys: ["key-ana"], guaranteedAccelerators: 16 },
            { name: "bob", keys: ["key-bob"], guaranteedAccelerators: 0 },
        ],
        services: [{ name: "service", checksAdmission: true, standby: false }],
        maxBodyBytes: 1_000_000,
    };
}

function createAdvisedQueue(): FleetConfiguration["queues"][number] {
    return { ...createQueue("advised", 1), advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 3_000 } };
}

/** Creates a queue whose jobs are late from the moment they are accepted. */
function createOverdueQueue(): FleetConfiguration["queues"][number] {
    return { ...createQueue("hasty", 1), stretch: 0.1, objectiveMs: 0 };
}

function createQueue(name: string, priority: number): FleetConfiguration["queues"][number] {
    return {
        name: name as QueueName,
        host: "host",
        prefix: `/${name}/`,
        service: "service",
        priority,
        attempts: 2,
        stretch: 3,
        objectiveMs: 1_000,
        open: false,
        advice: undefined,
    };
}
