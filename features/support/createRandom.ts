/** Returns the next number, from 0 to 1. */
export type Random = () => number;

/**
 * Creates a linear congruential generator.
 *
 * @param seed - The seed.
 * @returns The generator, which yields the same numbers for the same seed.
 */
export function createRandom(seed: number): Random {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}

/**
 * Chooses one of some values.
 *
 * @param values - The values, at least one.
 * @param random - The generator.
 * @returns The chosen value.
 */
export function choose<T>(values: readonly T[], random: Random): T {
    return values[Math.floor(random() * values.length)]!;
}
