import type { FleetConfiguration, QueueName } from "@balsamward/scheduler";

/** Creates the configuration of a lab: queues of each urgency, one with advice, one whose jobs come too late. */
export function createLabConfiguration(): FleetConfiguration {
    return {
        version: 1,
        queues: [
            queueOf("urgent", 0),
            queueOf("normal", 1),
            queueOf("bulk", 2),
            advisedQueue(),
            hastyQueue(),
        ],
        customers: [
            { name: "ana", keys: ["key-ana"], guaranteedAccelerators: 16 },
            { name: "bob", keys: ["key-bob"], guaranteedAccelerators: 0 },
        ],
        services: [{ name: "service", checksAdmission: true, standby: false }],
        maxBodyBytes: 1_000_000,
    };
}

function advisedQueue(): FleetConfiguration["queues"][number] {
    return { ...queueOf("advised", 1), advice: { decisionMs: 10, perWorkerMs: 1, validityMs: 3_000 } };
}

/** A queue whose jobs come too late from the beginning. */
function hastyQueue(): FleetConfiguration["queues"][number] {
    return { ...queueOf("hasty", 1), stretch: 0.1, objectiveMs: 0 };
}

function queueOf(name: string, priority: number): FleetConfiguration["queues"][number] {
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
