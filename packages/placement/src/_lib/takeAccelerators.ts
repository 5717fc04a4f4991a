import { countBits } from "./countBits.js";

/**
 * Selects accelerators from a mask, as in buddy allocation.
 *
 * Blocks are aligned to the smallest power of two that holds the accelerators. Of the blocks with enough
 * available accelerators, uses the one with the fewest available in the block and in its parent block,
 * which limits fragmentation. Falls back to the lowest available accelerators if no block has enough.
 *
 * @param available - Mask of available accelerators.
 * @param count - Number of accelerators to select.
 * @returns Mask of the selected accelerators, or 0 if too few are available.
 */
export function takeAccelerators(available: number, count: number): number {
    if (countBits(available) < count) {
        return 0;
    }
    const size = findBlockSize(count);
    let best = 0;
    let fewestFreeNearby = Number.POSITIVE_INFINITY;
    for (let start = 0; start < 32 && available >>> start !== 0; start += size) {
        const block = createLowBitMask(size) << start;
        if (countBits(available & block) < count) {
            continue;
        }
        const parentBlock = createLowBitMask(size * 2) << (start - start % (size * 2));
        const freeNearby = countBits(available & parentBlock) + countBits(available & block);
        if (freeNearby < fewestFreeNearby) {
            fewestFreeNearby = freeNearby;
            best = takeLowestBits(available & block, count);
        }
    }
    return best === 0 ? takeLowestBits(available, count) : best;
}

function findBlockSize(count: number): number {
    let size = 1;
    while (size < count) {
        size *= 2;
    }
    return size;
}

function createLowBitMask(count: number): number {
    return count >= 31 ? 0x7fffffff : (1 << count) - 1;
}

function takeLowestBits(mask: number, count: number): number {
    let taken = 0;
    let untaken = mask;
    for (let remaining = count; remaining > 0; remaining--) {
        const lowest = untaken & -untaken;
        taken |= lowest;
        untaken &= ~lowest;
    }
    return taken;
}
