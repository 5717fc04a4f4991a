import { MAX_SUGGESTION_EDITS } from "./constants.js";

/**
 * Returns the candidate with the fewest edits from the text.
 *
 * @param text - The text that was written.
 * @param candidates - The texts that are known.
 * @returns The nearest candidate, or `undefined` if none is within `MAX_SUGGESTION_EDITS` edits.
 *
 * @example
 * findClosestMatch("wieght", ["weight", "quota"]); // "weight"
 */
export function findClosestMatch(text: string, candidates: readonly string[]): string | undefined {
    let closest: string | undefined;
    let fewestEdits = MAX_SUGGESTION_EDITS + 1;
    for (const candidate of candidates) {
        const edits = editDistance(text, candidate);
        if (edits < fewestEdits) {
            fewestEdits = edits;
            closest = candidate;
        }
    }
    return closest;
}

function editDistance(left: string, right: string): number {
    let previous = Array.from({ length: right.length + 1 }, (_, index) => index);
    for (let row = 1; row <= left.length; row++) {
        const current = [row];
        for (let column = 1; column <= right.length; column++) {
            const substitution = left[row - 1] === right[column - 1] ? 0 : 1;
            current.push(Math.min(
                previous[column]! + 1,
                current[column - 1]! + 1,
                previous[column - 1]! + substitution,
            ));
        }
        previous = current;
    }
    return previous[right.length]!;
}
