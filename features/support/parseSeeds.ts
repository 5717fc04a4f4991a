/**
 * Parses the seeds of a soak.
 *
 * @param text - Seeds and ranges of seeds, such as '1-8 65'.
 * @returns The seeds.
 */
export function parseSeeds(text: string): readonly number[] {
    return text.split(" ").flatMap(range => {
        const [first, last] = range.split("-").map(Number);
        return Array.from({ length: (last ?? first!) - first! + 1 }, (_, index) => first! + index);
    });
}
