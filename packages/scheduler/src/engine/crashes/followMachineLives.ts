import type { WorkerReport } from "../../ports/WorkerPort.js";
import { getMachineName } from "../fleet/getMachineName.js";
import type { Scheduler } from "../Scheduler.js";
import { recordWorkerCrash } from "./recordWorkerCrash.js";
import type { MachineLife, WorkerCrash } from "./WorkerCrash.js";

/** Longest time from a crash until the next life of the machine is listed, as far as is assumed, in milliseconds. */
export const MAX_UNNOTICED_MS = 5_000;

/** Time for which a machine that is no longer listed is remembered, in milliseconds. */
const LIFE_RETENTION_MS = 600_000;

/**
 * Records the crashes that a list of workers shows: a machine has another life, and the one before was not to leave.
 * Those of workers without runs are known from the list alone.
 *
 * @param scheduler - The scheduler.
 * @param reports - All workers that the platform lists.
 */
export function followMachineLives(scheduler: Scheduler, reports: readonly WorkerReport[]): void {
    const { machineLives } = scheduler;
    const now = scheduler.clock();
    reports.forEach(report => followMachineLife(scheduler, report, now));
    [...machineLives].filter(([, { listedAt }]) => now - listedAt > LIFE_RETENTION_MS)
        .forEach(([machine]) => machineLives.delete(machine));
}

function followMachineLife(scheduler: Scheduler, report: WorkerReport, now: number): void {
    const { fleet, machineLives } = scheduler;
    const machine = getMachineName(report);
    const known = machineLives.get(machine);
    const isSame = known !== undefined && known.id === report.id && known.bornMs === report.bornMs;
    if (known !== undefined && !isSame && report.bornMs <= known.bornMs) {
        // An entry of an earlier life that is still listed.
        return;
    }
    if (known !== undefined && !isSame && !known.isLeaving) {
        recordWorkerCrash(scheduler, describeCrash(scheduler, machine, known, now));
    }
    const isLeaving = report.draining || fleet.get(report.id)?.isCordoned === true;
    machineLives.set(machine, {
        id: report.id,
        bornMs: report.bornMs,
        isLeaving: isLeaving || isSame && known.isLeaving,
        listedAt: now,
    });
}

function describeCrash(
    { fleet }: Scheduler,
    machine: string,
    life: MachineLife,
    now: number,
): WorkerCrash {
    const worker = fleet.get(life.id);
    // An entry that already describes the next life tells nothing of the end of this one.
    const isOfLife = worker?.bornMs === life.bornMs;
    return {
        machine,
        bornMs: life.bornMs,
        earliestAt: Math.max(now - MAX_UNNOTICED_MS, isOfLife ? worker.lastAnswerAt : 0),
        latestAt: isOfLife ? worker.silentSince ?? now : now,
        units: [],
    };
}
