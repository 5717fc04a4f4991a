import type { StepEntry } from "../state/JobEntry.js";
import type { ReclaimIncrement, ReclaimSite, ReclaimUnit } from "./ReclaimSite.js";
import { countSiteSlots, findIncrement } from "./ReclaimSite.js";

/** Largest number of gangs whose end is tried as the start of a plan; more would lengthen the pass. */
const MAX_INITIAL_GANGS = 4;

/** Sites to use for a step, and the units that have to end there. */
export type ReclaimChoice = {
    readonly sites: readonly ReclaimSite[];
    readonly ended: ReadonlySet<ReclaimUnit>;
    readonly cost: number;
};

/** Options of `chooseReclaimUnits`. */
export type ChooseReclaimUnitsOptions = {
    /** Number of tasks of the step that have to fit. */
    readonly taskCount: number;
    /** Returns the increment of a site if no unit has ended. */
    readonly firstIncrementOf: (site: ReclaimSite) => ReclaimIncrement | undefined;
};

/**
 * Chooses the sites of a step and the units that have to end.
 *
 * The search takes the increment with the least cost for each slot until all tasks fit, and leaves out what turns out
 * not to be needed. Since the end of a gang frees room on several sites, the search also starts from the end of each
 * of the cheapest gangs, and the cheapest result counts.
 *
 * @param step - The step.
 * @param sites - The sites.
 * @param options - The number of tasks, and the first increments.
 * @returns The cheapest choice found, or `undefined` if the tasks do not fit.
 */
export function chooseReclaimUnits(
    step: StepEntry,
    sites: readonly ReclaimSite[],
    { taskCount, firstIncrementOf }: ChooseReclaimUnitsOptions,
): ReclaimChoice | undefined {
    if (countSlots(step, sites, undefined) < taskCount) {
        return undefined;
    }
    const initial = new Map(sites.map(site => [site, firstIncrementOf(site)]));
    const best = searchFrom(step, initial, taskCount, undefined);
    if (best === undefined || best.cost === 0) {
        return best;
    }
    return listInitialGangs(sites).reduce((cheapest, gang) => {
        const choice = gang.cost < cheapest.cost ? searchFrom(step, initial, taskCount, gang) : undefined;
        return choice !== undefined && choice.cost < cheapest.cost ? choice : cheapest;
    }, best);
}

/** Lists the gangs with runs on several of the sites that cost the least for each site. */
function listInitialGangs(sites: readonly ReclaimSite[]): readonly ReclaimUnit[] {
    const known = new Set(sites);
    const gangs = new Map<ReclaimUnit, number>();
    for (const unit of new Set(sites.flatMap(({ units }) => [...units.keys()]))) {
        const siteCount = unit.sites.length > 1 ? unit.sites.filter(site => known.has(site)).length : 0;
        if (siteCount > 1) {
            gangs.set(unit, unit.cost / siteCount);
        }
    }
    return [...gangs]
        .sort(([, left], [, right]) => left - right)
        .slice(0, MAX_INITIAL_GANGS)
        .map(([unit]) => unit);
}

function searchFrom(
    step: StepEntry,
    initial: ReadonlyMap<ReclaimSite, ReclaimIncrement | undefined>,
    taskCount: number,
    gang: ReclaimUnit | undefined,
): ReclaimChoice | undefined {
    const increments = new Map(initial);
    const ended = new Set<ReclaimUnit>();
    const slots = new Map<ReclaimSite, number>();
    const end = (units: readonly ReclaimUnit[], changed: readonly ReclaimSite[]): void => {
        units.forEach(unit => ended.add(unit));
        for (const site of new Set([...changed, ...units.flatMap(unit => unit.sites)])) {
            if (increments.has(site)) {
                increments.set(site, findIncrement(step, site, ended, slots.get(site) ?? 0));
            }
        }
    };
    end(gang === undefined ? [] : [gang], []);
    let missing = taskCount;
    while (missing > 0) {
        const next = findCheapest(increments, missing);
        if (next === undefined) {
            return undefined;
        }
        const [site, { units, addedSlots }] = next;
        slots.set(site, (slots.get(site) ?? 0) + addedSlots);
        missing -= addedSlots;
        end(units, [site]);
    }
    const sites = [...slots.keys()];
    dropSpareUnits(ended, remaining => countSlots(step, sites, remaining) >= taskCount);
    return {
        sites: sites.filter(site => countSiteSlots(step, site, ended) > 0),
        ended,
        cost: [...ended].reduce((sum, unit) => sum + unit.cost, 0),
    };
}

function findCheapest(
    increments: ReadonlyMap<ReclaimSite, ReclaimIncrement | undefined>,
    missing: number,
): readonly [ReclaimSite, ReclaimIncrement] | undefined {
    let cheapest: readonly [ReclaimSite, ReclaimIncrement] | undefined;
    let leastCost = Number.POSITIVE_INFINITY;
    for (const [site, increment] of increments) {
        const cost = increment === undefined
            ? Number.POSITIVE_INFINITY
            : increment.cost / Math.min(increment.addedSlots, missing);
        if (increment !== undefined && cost < leastCost) {
            cheapest = [site, increment];
            leastCost = cost;
        }
    }
    return cheapest;
}

function countSlots(
    step: StepEntry,
    sites: readonly ReclaimSite[],
    ended: ReadonlySet<ReclaimUnit> | undefined,
): number {
    return sites.reduce((sum, site) => sum + countSiteSlots(step, site, ended), 0);
}

/** Removes units that are not needed, the most expensive first. */
function dropSpareUnits(
    ended: Set<ReclaimUnit>,
    isEnough: (remaining: ReadonlySet<ReclaimUnit>) => boolean,
): void {
    for (const unit of [...ended].sort((left, right) => right.cost - left.cost)) {
        ended.delete(unit);
        if (!isEnough(ended)) {
            ended.add(unit);
        }
    }
}
