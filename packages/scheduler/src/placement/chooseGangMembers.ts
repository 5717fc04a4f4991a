import type { Candidate } from "./countFittingTasks.js";
import { compareFreeResources } from "./countFittingTasks.js";

/**
 * Chooses the workers of a gang's members. Since the gang ends with its slowest member, all members get workers of the
 * slowest single band within the limit that has room for all, otherwise of several bands within the limit, otherwise of
 * the fastest bands that suffice, of a single one of them if it has room for all. In a band, the workers with the least
 * free resources come first (best fit).
 *
 * @param candidates - Workers with room, which together have room for all members.
 * @param memberCount - The number of members.
 * @param slowestBand - The slowest band within the limit of the gang.
 * @returns A candidate for each member.
 */
export function chooseGangMembers(
    candidates: readonly Candidate[],
    memberCount: number,
    slowestBand: number,
): readonly Candidate[] {
    return selectBands(candidates, memberCount, slowestBand)
        .sort((left, right) => right.band - left.band || compareFreeResources(left.worker, right.worker))
        .flatMap(candidate => Array.from({ length: candidate.freeSlots }, () => candidate))
        .slice(0, memberCount);
}

function selectBands(
    candidates: readonly Candidate[],
    memberCount: number,
    slowestBand: number,
): Candidate[] {
    const slotsByBand = new Map<number, number>();
    for (const { band, freeSlots } of candidates) {
        slotsByBand.set(band, (slotsByBand.get(band) ?? 0) + freeSlots);
    }
    if (slotsByBand.size === 1) {
        return [...candidates];
    }
    let slots = 0;
    let slowestUsable = slowestBand;
    let onlyBand: number | undefined;
    for (const [band, slotsInBand] of [...slotsByBand].sort(([left], [right]) => left - right)) {
        if (band > slowestBand && slots >= memberCount) {
            break;
        }
        slots += slotsInBand;
        slowestUsable = Math.max(slowestUsable, band);
        onlyBand = slotsInBand >= memberCount ? band : onlyBand;
    }
    return candidates.filter(({ band }) =>
        onlyBand === undefined ? band <= slowestUsable : band === onlyBand
    );
}
