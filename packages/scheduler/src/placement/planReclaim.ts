import { memoize } from "../_lib/memoize.js";
import type { Run, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { ChooseReclaimUnitsOptions } from "./chooseReclaimUnits.js";
import { chooseReclaimUnits } from "./chooseReclaimUnits.js";
import { listReclaimSites } from "./listReclaimSites.js";
import type { ReclaimSite } from "./ReclaimSite.js";
import { findIncrement } from "./ReclaimSite.js";

/** Plan for making room for a step: the workers to use and the runs that have to end there first. */
export type ReclaimPlan = {
    readonly workers: readonly WorkerEntry[];
    /** Runs on these workers that have to end, without those that are already being stopped. */
    readonly victims: readonly Run[];
    /** Sum of the costs of the victims, in the unit of `PlanReclaimOptions.costOf`; a gang counts once. */
    readonly cost: number;
};

/** Options of `planReclaim`. */
export type PlanReclaimOptions = {
    /**
     * Returns the cost of ending a run, or of waiting for its end; `undefined` if the run must be kept. For a member
     * of a gang, the cost is that of the whole gang, whose runs end together.
     *
     * The unit is the caller's choice, for example lost work in core-milliseconds.
     */
    readonly costOf: (run: Run) => number | undefined;
    /** Number of tasks of the step to make room for. */
    readonly taskCount: number;
    /** Returns the tier of a worker; those of a higher tier are used only if the step does not fit without them. */
    readonly tierOf?: (worker: WorkerEntry) => number;
};

/** A plan with the highest tier of its workers. */
type TieredPlan = { readonly plan: ReclaimPlan; readonly tier: number };

/**
 * Plans which runs have to end so that tasks of a step fit.
 *
 * The resources of runs that are already being stopped cost nothing, so that repeated planning keeps to an earlier
 * plan. A gang that runs slower across racks is planned within one rack, preferably that of its data, and across
 * racks only if it fits in none. Of several racks, the one with the lower tier counts, then the one with the lower
 * cost. The search is greedy: the plan is not always the cheapest one possible.
 *
 * @param step - The step.
 * @param workers - Usable workers that match the step's service and required label.
 * @param options - The cost of each run, the number of tasks and the tiers of the workers.
 * @returns The cheapest plan found, or `undefined` if the tasks do not fit.
 */
export function planReclaim(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    { costOf, taskCount, tierOf = () => 0 }: PlanReclaimOptions,
): ReclaimPlan | undefined {
    const sites = listReclaimSites(step, workers, costOf);
    const firstIncrementOf = memoize((site: ReclaimSite) => findIncrement(step, site, new Set(), 0));
    const planOn = (candidates: readonly ReclaimSite[]): TieredPlan | undefined =>
        planByTier(step, candidates, { taskCount, firstIncrementOf, tierOf });
    const { gang, sameRack, dataRack } = step.spec;
    if (!gang || !sameRack) {
        return planOn(sites)?.plan;
    }
    const racks = groupByRack(sites);
    const plans = [...racks].flatMap(([rack, rackSites]) => {
        const planned = planOn(rackSites);
        return planned === undefined ? [] : [{ ...planned, isDataRack: rack === dataRack }];
    });
    plans.sort((left, right) =>
        Number(right.isDataRack) - Number(left.isDataRack)
        || left.tier - right.tier
        || left.plan.cost - right.plan.cost
    );
    return plans[0]?.plan ?? (racks.size > 1 ? planOn(sites)?.plan : undefined);
}

/** Plans on the sites of the lowest tiers that suffice. */
function planByTier(
    step: StepEntry,
    sites: readonly ReclaimSite[],
    { tierOf, ...options }: ChooseReclaimUnitsOptions & Required<Pick<PlanReclaimOptions, "tierOf">>,
): TieredPlan | undefined {
    const tiers = new Map(sites.map(site => [site, tierOf(site.worker)]));
    for (const tier of [...new Set(tiers.values())].sort((left, right) => left - right)) {
        const choice = chooseReclaimUnits(step, sites.filter(site => tiers.get(site)! <= tier), options);
        if (choice !== undefined) {
            const { sites: used, ended, cost } = choice;
            const victims = used.flatMap(({ units }) =>
                [...units].flatMap(([unit, { runs }]) => ended.has(unit) ? runs : [])
            );
            return { plan: { workers: used.map(({ worker }) => worker), victims, cost }, tier };
        }
    }
    return undefined;
}

function groupByRack(sites: readonly ReclaimSite[]): ReadonlyMap<string, readonly ReclaimSite[]> {
    const racks = new Map<string, ReclaimSite[]>();
    for (const site of sites) {
        const { rack } = site.worker;
        const rackSites = racks.get(rack) ?? [];
        rackSites.push(site);
        racks.set(rack, rackSites);
    }
    return racks;
}
