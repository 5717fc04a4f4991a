import { countBits } from "./countBits.js";

/**
 * Takes accelerators out of a mask, from the tightest aligned block that holds them.
 *
 * Falls back to the lowest free accelerators when no aligned block is free.
 *
 * @param available - Mask of available accelerators.
 * @param count - Number of accelerators to take.
 * @returns Mask of the taken accelerators, or 0 if too few are available.
 */
export function takeBlock(available: number, count: number): number {
    if (countBits(available) < count) {
        return 0;
    }
    const size = blockSize(count);
    let best = 0;
    let fewestNeighbours = Number.POSITIVE_INFINITY;
    for (let start = 0; start < 32 && available >>> start !== 0; start += size) {
        const block = lowBits(size) << start;
        if (countBits(available & block) < count) {
            continue;
        }
        const buddies = lowBits(size * 2) << (start - start % (size * 2));
        const neighbours = countBits(available & buddies) + countBits(available & block);
        if (neighbours < fewestNeighbours) {
            fewestNeighbours = neighbours;
            best = lowestBits(available & block, count);
        }
    }
    return best === 0 ? lowestBits(available, count) : best;
}

function blockSize(count: number): number {
    let size = 1;
    while (size < count) {
        size *= 2;
    }
    return size;
}

function lowBits(count: number): number {
    return count >= 31 ? 0x7fffffff : (1 << count) - 1;
}

function lowestBits(mask: number, count: number): number {
    let taken = 0;
    let rest = mask;
    for (let left = count; left > 0; left--) {
        const lowest = rest & -rest;
        taken |= lowest;
        rest &= ~lowest;
    }
    return taken;
}
