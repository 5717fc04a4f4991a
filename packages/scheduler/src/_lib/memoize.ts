/**
 * Returns a function that computes the result for each key once.
 *
 * @param compute - Computes the result for a key.
 * @returns The function; it keeps all its keys and results.
 *
 * @example
 * const square = memoize((value: number) => value ** 2);
 * square(3); // 9
 */
export function memoize<Key, Value>(compute: (key: Key) => Value): (key: Key) => Value {
    const values = new Map<Key, Value>();
    return key => {
        const known = values.get(key);
        if (known !== undefined) {
            return known;
        }
        const value = compute(key);
        values.set(key, value);
        return value;
    };
}
