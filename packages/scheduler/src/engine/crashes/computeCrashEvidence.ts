import type { FleetCircumstances } from "./describeCircumstances.js";
import { COMMON_CAUSE_MACHINES } from "./describeCircumstances.js";
import { ACQUITTAL_MS } from "./suspicion.js";

/** Chance that the crashes of two machines at the same time have a common cause. */
const COMMON_CAUSE_CHANCE = 0.1;

/** Chance that a crash with a common cause is taken for a single one, since the times of crashes are known roughly. */
const MISTAKEN_CRASH_CHANCE = 0.1;

/** Rate of crashes of a machine that is assumed beside those seen: one in some 33 minutes, per millisecond. */
const ASSUMED_CRASH_RATE = 1 / 2_000_000;

/** Shortest age of a run that is reckoned with, in milliseconds; ages are known from the answers of workers only. */
const MIN_AGE_MS = 600;

/** Chance that a machine is unsound and goes on crashing, for each of its crashes in the last minute. */
const UNSOUND_MACHINE_CHANCE = 0.2;

/** Shortest time between two crashes of an unsound machine that is reckoned with, in milliseconds. */
const MIN_CRASH_INTERVAL_MS = 3_000;

/** Chance that another run on the worker has crashed it. */
const NEIGHBOUR_CHANCE = 0.001;

/** Chance that a worker was about to go when a start was sent to it that it has not confirmed. */
const UNCONFIRMED_CHANCE = 0.005;

/** Rate at which workers go unnoticed before a start that they do not confirm, per millisecond. */
const UNNOTICED_RATE = 1 / 200_000;

/** Least chance that is reckoned with, so that two crashes alone never convict a task. */
const MIN_CHANCE = 1 / 700;

/** What the crash of an innocent run brings on average: the mean of -log10 of an even chance is 0.43. */
const MEAN_INNOCENT_EVIDENCE = 0.5;

/** Chance that a crash between the terms of two owners has the same cause as the end of the earlier one. */
const INHERITED_CHANCE = 0.009;

/** A crash of a worker under a run, and what else could explain it. */
export type CrashCircumstances = FleetCircumstances & {
    /** Time for which the run had lasted, in milliseconds. */
    readonly ageMs: number;
    /** Number of workers that the run needed; more than one for a gang. */
    readonly workerCount: number;
    /** Whether the worker had confirmed the run. */
    readonly isConfirmed: boolean;
    /** Whether an earlier owner started the run, so that what else happened at the time is not known. */
    readonly isInherited: boolean;
    /** Time from the worker's last answer until it was known to be silent, in milliseconds. */
    readonly silenceMs: number;
    /** Number of other tasks and gangs that ran on the worker. */
    readonly neighbourCount: number;
};

/**
 * Computes how strongly the crash of a worker speaks against the task that ran on it: how improbable the crash is if
 * the task has nothing to do with it.
 *
 * @param circumstances - The crash, and what else could explain it.
 * @returns The negative decimal logarithm of that chance, less what it is on average if the task has nothing to do with
 * it; 0 if several machines crashed at the same time or the run had lasted for long, and below 0 if the crash was to be
 * expected.
 *
 * @example
 * computeCrashEvidence(alone); // 2.3: the chance of a crash without the task is 1 in 700.
 */
export function computeCrashEvidence(circumstances: CrashCircumstances): number {
    const { fleetSize, workerCount, simultaneousCrashes, observedMs } = circumstances;
    if (simultaneousCrashes >= COMMON_CAUSE_MACHINES || circumstances.ageMs >= ACQUITTAL_MS) {
        return 0;
    }
    const machines = Math.max(1, fleetSize);
    const otherCrashes = circumstances.otherCrashes
        + MISTAKEN_CRASH_CHANCE * circumstances.otherCommonCrashes;
    const crashRate = ASSUMED_CRASH_RATE + otherCrashes / machines / observedMs;
    const ageMs = Math.max(MIN_AGE_MS, circumstances.ageMs + circumstances.silenceMs);
    const chance = workerCount * ageMs * crashRate
        + COMMON_CAUSE_CHANCE * workerCount * simultaneousCrashes / machines
        + getChanceOfMachine(circumstances, ageMs)
        + NEIGHBOUR_CHANCE * circumstances.neighbourCount
        + (circumstances.isInherited ? INHERITED_CHANCE : 0)
        + (circumstances.isConfirmed ? 0 : UNCONFIRMED_CHANCE + UNNOTICED_RATE * circumstances.silenceMs);
    return -Math.log10(Math.min(1, Math.max(MIN_CHANCE, chance))) - MEAN_INNOCENT_EVIDENCE;
}

/** Returns the chance that the machine has crashed since it crashes again and again. */
function getChanceOfMachine(
    { earlierCrashesOfMachine, sinceFirstCrashOfMachineMs }: FleetCircumstances,
    ageMs: number,
): number {
    const intervalMs = Math.max(
        MIN_CRASH_INTERVAL_MS,
        sinceFirstCrashOfMachineMs / Math.max(1, earlierCrashesOfMachine),
    );
    return Math.min(1, UNSOUND_MACHINE_CHANCE * earlierCrashesOfMachine) * ageMs / intervalMs;
}
