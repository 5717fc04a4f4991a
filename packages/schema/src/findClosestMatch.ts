import { MAX_SUGGESTION_EDITS } from "./constants.js";

/**
 * Returns the candidate with the smallest Levenshtein distance from a text.
 *
 * @param text - The text to match, for example a misspelled key.
 * @param candidates - The texts to choose from.
 * @returns The closest candidate, the first one of several, or `undefined` if none is within
 * `MAX_SUGGESTION_EDITS` edits.
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
