import type { WorkerId } from "@balsamward/scheduler";
import type { ActiveEvacuations } from "../../../packages/scheduler/src/cluster/createActiveEvacuations.js";
import type { Scheduler } from "../../../packages/scheduler/src/engine/Scheduler.js";
import type { SuspendableClock } from "../SuspendableClock.js";
import type { StoreLease } from "./StoreLease.js";

/** A term of ownership that a test begins, and ends by aborting `end`. */
export type Term = {
    readonly scheduler: Scheduler;
    readonly end: AbortController;
    resignations: string[];
    /** Workers that the owner of this term cannot reach, although others can. */
    readonly unreachableWorkers: Set<WorkerId>;
    /** Clock of the owner's process. */
    readonly clock: SuspendableClock;
    /** The owner's lease in the store. */
    readonly lease: StoreLease;
    /** The evacuations that the owner knows. */
    readonly evacuations: ActiveEvacuations;
};
