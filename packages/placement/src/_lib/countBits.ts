/**
 * Counts the set bits of a mask.
 *
 * @param mask - A mask of up to 32 bits.
 * @returns The number of bits that are 1.
 */
export function countBits(mask: number): number {
    let rest = mask - ((mask >>> 1) & 0x55555555);
    rest = (rest & 0x33333333) + ((rest >>> 2) & 0x33333333);
    return (((rest + (rest >>> 4)) & 0x0f0f0f0f) * 0x01010101) >>> 24;
}
