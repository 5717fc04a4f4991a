import { memoize } from "../_lib/memoize.js";
import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { applyTaskRequest } from "./applyTaskRequest.js";
import { countFittingTasksIn } from "./countFittingTasks.js";
import { countRunsByWorker } from "./placeTasks.js";
import type { ReclaimSite, ReclaimUnit, UnitPart } from "./ReclaimSite.js";

/**
 * Lists the workers on which a step has room or could get room.
 *
 * The runs of a gang form one unit. One that is being stopped on any worker counts as ending on all of them, since
 * its other members end with it.
 *
 * @param step - The step.
 * @param workers - Usable workers that match the step's service and required label.
 * @param costOf - Returns the cost of ending a run; `undefined` if the run must be kept.
 * @returns The sites, in the order of the workers.
 */
export function listReclaimSites(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    costOf: (run: Run) => number | undefined,
): readonly ReclaimSite[] {
    const runCounts = countRunsByWorker(step);
    const isGangEnding = memoize((gang: StepEntry) =>
        gang.tasks.some(({ runs }) => runs.some(({ phase }) => phase === "stopping"))
    );
    const unitsByKey = new Map<StepEntry | Run, ReclaimUnit | undefined>();
    const findUnit = (run: Run): ReclaimUnit | undefined => {
        const key = run.task.step.spec.gang ? run.task.step : run;
        if (!unitsByKey.has(key)) {
            const cost = costOf(run);
            unitsByKey.set(key, cost === undefined ? undefined : { cost, sites: [] });
        }
        return unitsByKey.get(key);
    };
    const sites: ReclaimSite[] = [];
    for (const worker of workers) {
        const { cpuMillis, memoryMb, accelerators } = worker.free;
        const free = { cpuMillis, memoryMb, accelerators };
        const units = new Map<ReclaimUnit, UnitPart & { readonly runs: Run[] }>();
        for (const run of worker.runs) {
            const runStep = run.task.step;
            if (run.phase === "stopping" || runStep.spec.gang && isGangEnding(runStep)) {
                applyTaskRequest(free, runStep.spec, 1);
                continue;
            }
            const unit = findUnit(run);
            if (unit !== undefined) {
                const part = units.get(unit)
                    ?? { runs: [], held: { cpuMillis: 0, memoryMb: 0, accelerators: 0 } };
                units.set(unit, part);
                part.runs.push(run);
                applyTaskRequest(part.held, runStep.spec, 1);
            }
        }
        const runCount = runCounts.get(worker) ?? 0;
        if (units.size > 0 || countFittingTasksIn(free, step.spec, runCount) > 0) {
            const site = { worker, runCount, free, units };
            units.forEach((_, unit) => unit.sites.push(site));
            sites.push(site);
        }
    }
    return sites;
}
