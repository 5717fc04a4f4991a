import type { FleetConfiguration, JobId } from "@balsamward/scheduler";
import { choose } from "../createRandom.js";
import { createTestConfiguration } from "../createTestConfiguration.js";
import type { SchedulerTestHarness } from "../SchedulerTestHarness.js";

/** Number of attempts that the queue of the jobs allows. */
export const ATTEMPTS = 3;

const MS_PER_SECOND = 1_000;

const SHAPES = [
    { taskCount: 2 },
    { taskCount: 2, copiesAllowed: true },
    { taskCount: 3, gang: true },
    { taskCount: 1, lasting: true },
];

/**
 * Creates the configurations among which a soak changes: the queue allows `ATTEMPTS` or is removed, and the owner has
 * an older version, under which the queue allowed fewer.
 */
export function createConfigurations(): readonly FleetConfiguration[] {
    const { queues, ...rest } = createTestConfiguration();
    const composeVersion = (version: number, attempts: number): FleetConfiguration => ({
        ...rest,
        version,
        queues: queues.map(queue => ({ ...queue, attempts })),
    });
    return [composeVersion(2, ATTEMPTS), { ...rest, version: 3, queues: [] }, composeVersion(1, 1)];
}

/** Submits a job of a random shape to a daemon that has the configuration in which the queue allows `ATTEMPTS`. */
export function submitVariedJob(harness: SchedulerTestHarness, random: () => number): JobId {
    const request = { cpuMillis: 100, memoryMb: 100, accelerators: 0 };
    const step = { ...choose(SHAPES, random), request, estimatedMs: 300, checkpoints: random() < 0.5 };
    const schedule = { times: 2, firstRunMs: harness.clock.now, intervalMs: 2 * MS_PER_SECOND };
    const { configuration } = harness;
    harness.configuration = createConfigurations()[0]!;
    const id = harness.submit("normal", "ana", [step], random() < 0.2 ? { schedule } : {});
    harness.configuration = configuration;
    return id;
}
