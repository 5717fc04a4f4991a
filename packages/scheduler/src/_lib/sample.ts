/**
 * Returns distinct random elements.
 *
 * @param items - The elements to choose from.
 * @param count - The number of elements; all are returned if there are fewer.
 * @param random - Returns random numbers from 0 to below 1.
 * @returns The chosen elements, in random order.
 *
 * @example
 * sample(["a", "b", "c"], 2, Math.random); // for instance ["c", "a"]
 */
export function sample<T>(items: readonly T[], count: number, random: () => number): readonly T[] {
    const remaining = [...items];
    const chosen: T[] = [];
    while (chosen.length < count && remaining.length > 0) {
        const index = Math.floor(random() * remaining.length);
        chosen.push(remaining[index]!);
        remaining[index] = remaining.at(-1)!;
        remaining.pop();
    }
    return chosen;
}
