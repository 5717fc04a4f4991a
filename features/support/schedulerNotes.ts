import type { JobId } from "@balsamward/scheduler";
import type { SchedulerLab } from "./SchedulerLab.js";
import type { TestWorld } from "./TestWorld.js";

/** Returns the scheduler under test. */
export function labOf(world: TestWorld): SchedulerLab {
    return world.note<SchedulerLab>("lab");
}

/** Returns the id of a job that a step has named. */
export function jobOf(world: TestWorld, name: string): JobId {
    return world.note<JobId>(`job ${name}`);
}
