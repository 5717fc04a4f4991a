import type { JobId } from "@balsamward/scheduler";
import type { SchedulerTestHarness } from "./SchedulerTestHarness.js";
import type { TestWorld } from "./TestWorld.js";

/** Returns the scheduler under test. */
export function getHarness(world: TestWorld): SchedulerTestHarness {
    return world.note<SchedulerTestHarness>("lab");
}

/** Returns the id of a job that a step has named. */
export function getJobId(world: TestWorld, name: string): JobId {
    return world.note<JobId>(`job ${name}`);
}
