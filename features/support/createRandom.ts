/**
 * Creates a linear congruential generator of numbers from 0 to 1.
 *
 * @param seed - The seed.
 * @returns A function that returns the next number.
 */
export function createRandom(seed: number): () => number {
    let state = seed;
    return () => {
        state = (Math.imul(state, 1_664_525) + 1_013_904_223) >>> 0;
        return state / 2 ** 32;
    };
}
