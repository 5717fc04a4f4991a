import { getMachineName } from "../fleet/getMachineName.js";
import type { Scheduler } from "../Scheduler.js";
import type { OutcomeUnit, WorkerCrash } from "./WorkerCrash.js";

/** What else happened in the fleet when a worker crashed under a run. */
export type FleetCircumstances = {
    readonly fleetSize: number;
    /** Number of other machines that crashed or fell silent at about the same time. */
    readonly simultaneousCrashes: number;
    /** Number of crashes in the last minute on workers that did not run the same, those at the same time left out. */
    readonly otherCrashes: number;
    /** Number of earlier crashes of the same machine in the last minute, under whatever ran there. */
    readonly earlierCrashesOfMachine: number;
};

/**
 * Describes what happened in the fleet around a crash.
 *
 * @param scheduler - The scheduler.
 * @param crash - The crash, which is recorded.
 * @param unit - What ran on the worker and is looked at.
 * @returns The numbers of other crashes.
 */
export function describeCircumstances(
    scheduler: Scheduler,
    crash: WorkerCrash,
    unit: OutcomeUnit,
): FleetCircumstances {
    const others = scheduler.workerCrashes.filter(other => other !== crash);
    const isSimultaneous = (other: WorkerCrash): boolean =>
        other.machine !== crash.machine && overlaps(other, crash);
    const simultaneous = new Set([
        ...others.filter(isSimultaneous).map(({ machine }) => machine),
        ...listSilentMachines(scheduler, crash),
    ]);
    return {
        fleetSize: scheduler.fleet.size,
        simultaneousCrashes: simultaneous.size,
        otherCrashes: others.filter(other => !isSimultaneous(other) && !other.units.includes(unit)).length,
        earlierCrashesOfMachine: others.filter(({ machine }) => machine === crash.machine).length,
    };
}

/** Lists the other machines that fell silent at about the time of a crash and have not answered since. */
function listSilentMachines({ fleet }: Scheduler, crash: WorkerCrash): readonly string[] {
    return [...fleet.values()]
        .filter(({ silentSince, lastAnswerAt }) =>
            silentSince !== undefined && Number.isFinite(lastAnswerAt)
            && overlaps({ earliestAt: lastAnswerAt, latestAt: silentSince }, crash)
        )
        .map(getMachineName)
        .filter(machine => machine !== crash.machine);
}

type Interval = Pick<WorkerCrash, "earliestAt" | "latestAt">;

function overlaps(left: Interval, right: Interval): boolean {
    return left.earliestAt <= right.latestAt && right.earliestAt <= left.latestAt;
}
