import type { UnplacedSteps } from "../../placement/createUnplacedSteps.js";
import type { WorkerGroups } from "../../placement/createWorkerGroups.js";
import type { JobEntry, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { ServiceCapacity } from "./measureCapacity.js";

/** State of a placement pass. */
export type PlacementPass = {
    /** Jobs covered by their customers' guarantees. */
    readonly entitled: ReadonlySet<JobEntry>;
    /** Capacity of the listed workers that do not drain, by service. */
    readonly capacities: ReadonlyMap<string, ServiceCapacity>;
    /** Workers by service and label. */
    readonly groups: WorkerGroups;
    /** Workers that get no starts for a while because of faults, unless a step would wait for long. */
    readonly pausedWorkers: ReadonlySet<WorkerEntry>;
    /** Steps that found no room, by worker group. */
    readonly unplacedSteps: UnplacedSteps;
    /** Whether a step was not placed completely. */
    hasUnplacedSteps: boolean;
    /** Workers that are kept free for a waiting step. */
    readonly reservedWorkers: Set<WorkerEntry>;
    /** Those of them that are kept free for a guaranteed step. */
    readonly guaranteedWorkers: Set<WorkerEntry>;
    /** Number of gangs on time that hold a reservation in the pass. */
    reservingGangs: number;
    /** Whether the pass has planned a reservation. A plan looks at every run, so further ones wait for later passes. */
    hasPlanned: boolean;
    /** Of the steps whose plans wait for a later pass, the one with the oldest reservation. */
    deferredPlan: StepEntry | undefined;
    /** Number of starts that can still be ordered without a long wait. */
    freeStarts: number;
    /** Number of free starts for which the first step waits that did not get enough of them; 0 if none waits. */
    awaitedStarts: number;
    /** Whether a start that was ordered before waits to be sent. */
    hasWaitingStarts: boolean;
};
