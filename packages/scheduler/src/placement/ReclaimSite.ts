import type { Run, StepEntry } from "../state/JobEntry.js";
import type { ResourceAmounts } from "../state/ResourceAmounts.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { countFittingTasksIn } from "./countFittingTasks.js";

/** Runs that end together: all members of a gang, or a single run. */
export type ReclaimUnit = {
    /** Cost of ending all of the runs, also those on workers that the plan does not look at. */
    readonly cost: number;
    /** Sites of the plan on which the unit has runs. */
    readonly sites: ReclaimSite[];
};

/** Runs of a unit on one worker, and the resources that they hold. */
export type UnitPart = { readonly runs: readonly Run[]; readonly held: ResourceAmounts };

/** A worker in a plan, with the room that it has without any stop and the runs that could end. */
export type ReclaimSite = {
    readonly worker: WorkerEntry;
    /** Runs of the step on the worker, which count towards its limit per worker. */
    readonly runCount: number;
    /** Free resources, including those of runs that are ending already. */
    readonly free: ResourceAmounts;
    /** Runs that could end, by their unit. */
    readonly units: ReadonlyMap<ReclaimUnit, UnitPart>;
};

/** Units to end on a site, and the slots that the step gains there. */
export type ReclaimIncrement = {
    readonly units: readonly ReclaimUnit[];
    readonly addedSlots: number;
    readonly cost: number;
};

/**
 * Counts the tasks of a step that fit on a site once some units have ended.
 *
 * @param step - The step.
 * @param site - The site.
 * @param ended - The units; `undefined` stands for all units.
 * @returns The number of tasks.
 */
export function countSiteSlots(
    { spec }: StepEntry,
    site: ReclaimSite,
    ended: ReadonlySet<ReclaimUnit> | undefined,
): number {
    return countFittingTasksIn(computeFree(site, ended), spec, site.runCount);
}

/**
 * Finds a cheap set of units whose end gives a step at least one more slot on a site.
 *
 * Units are taken by cost, and by cost for each accelerator that they hold, until a task fits; of both sets, those
 * units are left out again without which it fits too, the most expensive first.
 *
 * @param step - The step.
 * @param site - The site.
 * @param ended - Units that end anyway, which cost nothing.
 * @param slots - Slots on the site that the plan uses already.
 * @returns The cheaper set; `undefined` if no further task fits even if all units end.
 */
export function findIncrement(
    step: StepEntry,
    site: ReclaimSite,
    ended: ReadonlySet<ReclaimUnit>,
    slots: number,
): ReclaimIncrement | undefined {
    const freeSlots = countSiteSlots(step, site, ended) - slots;
    if (freeSlots > 0) {
        return { units: [], addedSlots: freeSlots, cost: 0 };
    }
    if (countSiteSlots(step, site, undefined) <= slots) {
        return undefined;
    }
    const candidates = [...site.units].filter(([unit]) => !ended.has(unit)).map(([unit, { held }]) => ({
        unit,
        held,
        density: unit.cost / (1 + held.accelerators),
    }));
    const byCost = takeUntilFitting(step, site, ended, {
        order: candidates.sort((left, right) => left.unit.cost - right.unit.cost),
        slots,
    });
    if (byCost.units.length <= 1) {
        return byCost;
    }
    const byDensity = takeUntilFitting(step, site, ended, {
        order: candidates.sort((left, right) => left.density - right.density),
        slots,
    });
    return byDensity.cost < byCost.cost ? byDensity : byCost;
}

/** Returns the free resources of a site once some units have ended, or all of them. */
function computeFree(
    { free, units }: ReclaimSite,
    ended: ReadonlySet<ReclaimUnit> | undefined,
): ResourceAmounts {
    const amounts = { ...free };
    if (ended === undefined || ended.size > 0) {
        for (const [unit, { held }] of units) {
            if (ended === undefined || ended.has(unit)) {
                addAmounts(amounts, held, 1);
            }
        }
    }
    return amounts;
}

type HeldUnit = { readonly unit: ReclaimUnit; readonly held: ResourceAmounts };

function takeUntilFitting(
    { spec }: StepEntry,
    site: ReclaimSite,
    ended: ReadonlySet<ReclaimUnit>,
    { order, slots }: { readonly order: readonly HeldUnit[]; readonly slots: number },
): ReclaimIncrement {
    const amounts = computeFree(site, ended);
    const countSlots = (): number => countFittingTasksIn(amounts, spec, site.runCount);
    const taken = new Set<HeldUnit>();
    for (const candidate of order) {
        if (countSlots() > slots) {
            break;
        }
        addAmounts(amounts, candidate.held, 1);
        taken.add(candidate);
    }
    for (const candidate of [...taken].sort((left, right) => right.unit.cost - left.unit.cost)) {
        addAmounts(amounts, candidate.held, -1);
        if (countSlots() > slots) {
            taken.delete(candidate);
        }
        else {
            addAmounts(amounts, candidate.held, 1);
        }
    }
    const units = [...taken].map(({ unit }) => unit);
    return {
        units,
        addedSlots: countSlots() - slots,
        cost: units.reduce((sum, unit) => sum + unit.cost, 0),
    };
}

function addAmounts(target: ResourceAmounts, added: ResourceAmounts, sign: 1 | -1): void {
    target.cpuMillis += sign * added.cpuMillis;
    target.memoryMb += sign * added.memoryMb;
    target.accelerators += sign * added.accelerators;
}
