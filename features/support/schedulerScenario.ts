import type { JobId } from "@balsamward/scheduler";
import type { SchedulerTestHarness } from "./SchedulerTestHarness.js";
import type { TestWorld } from "./TestWorld.js";

/** Returns the test harness of the scenario's scheduler. */
export function getHarness(world: TestWorld): SchedulerTestHarness {
    return world.note<SchedulerTestHarness>("harness");
}

/** Returns the id of the job that an earlier step submitted under a name. */
export function getJobId(world: TestWorld, name: string): JobId {
    return world.note<JobId>(`job ${name}`);
}
