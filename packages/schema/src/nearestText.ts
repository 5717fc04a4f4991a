import { MAX_PROPOSAL_EDITS } from "./constants.js";

/**
 * Returns the candidate with the fewest edits from the text.
 *
 * @param text - The text that was written.
 * @param candidates - The texts that are known.
 * @returns The nearest candidate, or `undefined` if none is within `MAX_PROPOSAL_EDITS` edits.
 *
 * @example
 * nearestText("wieght", ["weight", "quota"]); // "weight"
 */
export function nearestText(text: string, candidates: readonly string[]): string | undefined {
    let nearest: string | undefined;
    let fewest = MAX_PROPOSAL_EDITS + 1;
    for (const candidate of candidates) {
        const edits = countEdits(text, candidate);
        if (edits < fewest) {
            fewest = edits;
            nearest = candidate;
        }
    }
    return nearest;
}

function countEdits(left: string, right: string): number {
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
