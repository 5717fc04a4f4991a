import { getMachineName } from "../fleet/getMachineName.js";
import type { Scheduler } from "../Scheduler.js";
import { CRASH_RATE_WINDOW_MS, overlaps } from "./recordWorkerCrash.js";
import type { OutcomeUnit, WorkerCrash } from "./WorkerCrash.js";

/** Number of other machines that crash or fall silent at the same time from which on there is a common cause. */
export const COMMON_CAUSE_MACHINES = 2;

/** Shortest time that the fleet counts as watched, in milliseconds. */
const MIN_OBSERVED_MS = 20_000;

/** What else happened in the fleet when a worker crashed under a run. */
export type FleetCircumstances = {
    readonly fleetSize: number;
    /** Number of other machines that crashed or fell silent at about the same time. */
    readonly simultaneousCrashes: number;
    /** Number of single crashes in the last minute on workers that did not run the same. */
    readonly otherCrashes: number;
    /** The same, of crashes of several machines at the same time. */
    readonly otherCommonCrashes: number;
    /** Number of earlier single crashes of the same machine in the last minute, under whatever ran there. */
    readonly earlierCrashesOfMachine: number;
    /** Time since the first of these, in milliseconds; 0 if there is none. */
    readonly sinceFirstCrashOfMachineMs: number;
    /** Time over which the owner has seen crashes, in milliseconds. */
    readonly observedMs: number;
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
    const otherMachinesOfUnit = new Set(
        others.filter(({ machine, units }) => units.includes(unit) && machine !== crash.machine)
            .map(({ machine }) => machine),
    );
    // What has crashed several other machines explains the crashes of this one as well as the machine does.
    const isExplainedByUnit = ({ machine, units }: WorkerCrash): boolean =>
        units.includes(unit) && (machine !== crash.machine || otherMachinesOfUnit.size >= 2);
    const simultaneous = new Set([
        ...others.filter(other => isSimultaneous(other, crash)).map(({ machine }) => machine),
        ...listSilentMachines(scheduler, crash),
    ]);
    const independent = others.filter(other => !isSimultaneous(other, crash) && !isExplainedByUnit(other));
    const common = independent.filter(other => hasCommonCause(scheduler, other));
    const ofMachine = independent.filter(other =>
        other.machine === crash.machine && !hasCommonCause(scheduler, other)
    );
    return {
        fleetSize: scheduler.fleet.size,
        simultaneousCrashes: simultaneous.size,
        otherCrashes: independent.length - common.length,
        otherCommonCrashes: common.length,
        sinceFirstCrashOfMachineMs: ofMachine.length === 0
            ? 0
            : Math.max(0, Math.round(crash.latestAt - Math.min(...ofMachine.map(other => other.latestAt)))),
        earlierCrashesOfMachine: ofMachine.length,
        observedMs: Math.min(
            CRASH_RATE_WINDOW_MS,
            Math.max(MIN_OBSERVED_MS, scheduler.clock() - scheduler.watchedSince),
        ),
    };
}

/** Returns whether so many machines crashed at about the same time that there was a common cause. */
function hasCommonCause({ workerCrashes }: Scheduler, crash: WorkerCrash): boolean {
    let count = 0;
    return workerCrashes.some(other => {
        count += isSimultaneous(other, crash) ? 1 : 0;
        return count >= COMMON_CAUSE_MACHINES;
    });
}

function isSimultaneous(left: WorkerCrash, right: WorkerCrash): boolean {
    return left.machine !== right.machine && overlaps(left, right);
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
