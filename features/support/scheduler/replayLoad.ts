import type { JobId } from "@balsamward/scheduler";
import { setImmediate as turn } from "node:timers/promises";
import { runPlacementPass } from "../../../packages/scheduler/src/engine/passes/runPlacementPass.js";
import type { CreateReplayFleetOptions } from "./createReplayFleet.js";
import { createReplayFleet } from "./createReplayFleet.js";
import type { LoadJob } from "./LoadJob.js";

/** Time between two passes on the logical clock, in milliseconds. */
const PASS_INTERVAL_MS = 50;

/** Passes at one time; each orders a limited number of starts. */
const PASSES_AT_ONCE = 4;

/** What became of a job of a load. */
export type ReplayedJob = {
    readonly load: LoadJob;
    readonly startedAt: number;
    readonly endedAt: number;
    /** Target for its time from arrival to end, for its true run time, in milliseconds. */
    readonly objectiveMs: number;
};

/** Result of `replayLoad`. */
export type ReplayedLoad = {
    readonly jobs: readonly ReplayedJob[];
    readonly lostCoreSeconds: number;
    readonly stops: number;
};

/** Options of `replayLoad`. */
export type ReplayLoadOptions = CreateReplayFleetOptions & {
    /** Time after the last arrival for which ends are awaited, in milliseconds. */
    readonly drainMs: number;
};

/**
 * Plays a load on a replay fleet.
 *
 * @param jobs - The jobs by arrival.
 * @param options - The fleet.
 * @returns The jobs, with infinite times for what did not happen, and the work that was thrown away.
 */
export async function replayLoad(
    jobs: readonly LoadJob[],
    { drainMs, ...options }: ReplayLoadOptions,
): Promise<ReplayedLoad> {
    const fleet = createReplayFleet(options);
    const { scheduler } = fleet;
    await turn();
    const ids: JobId[] = [];
    const startTimes = new Map<JobId, number>();
    const endTimes = new Map<JobId, number>();
    const lastTime = jobs.at(-1)!.arrivalMs + drainMs;
    for (
        let time = 0;
        time < lastTime && (ids.length < jobs.length || scheduler.activeJobs.size > 0);
        time += PASS_INTERVAL_MS
    ) {
        fleet.advanceTo(time);
        while (ids.length < jobs.length && jobs[ids.length]!.arrivalMs <= time) {
            ids.push(fleet.submit(jobs[ids.length]!));
        }
        for (let pass = 0; pass < PASSES_AT_ONCE; pass++) {
            runPlacementPass(scheduler);
            await turn();
        }
        for (const [id, entry] of scheduler.jobs) {
            const steps = entry.occurrences.get(0)!;
            if (!startTimes.has(id) && steps[0]!.tasks.every(({ done, runs }) => done || runs.length > 0)) {
                startTimes.set(id, time);
            }
            if (!scheduler.activeJobs.has(entry)) {
                endTimes.set(id, time);
                scheduler.jobs.delete(id);
            }
        }
    }
    const { queues } = options.configuration;
    return {
        jobs: jobs.map((load, index) => {
            const { stretch, objectiveMs } = queues.find(({ name }) => name === load.queue)!;
            const sorted = [...load.runTimesMs].sort((left, right) => left - right);
            const chainMs = sorted[Math.floor(sorted.length / 2)]!;
            return {
                load,
                startedAt: startTimes.get(ids[index]!) ?? Number.POSITIVE_INFINITY,
                endedAt: endTimes.get(ids[index]!) ?? Number.POSITIVE_INFINITY,
                objectiveMs: stretch * chainMs + objectiveMs,
            };
        }),
        lostCoreSeconds: Math.round(fleet.sumLostWork()),
        stops: fleet.countStops(),
    };
}
