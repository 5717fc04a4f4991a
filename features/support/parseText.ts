/**
 * Reads a text of a scenario in which code units may be written as in JSON, such as `\ufeff`.
 *
 * @param text - The text as it stands in the feature.
 * @returns The text with its code units.
 */
export function parseText(text: string): string {
    return JSON.parse(`"${text}"`) as string;
}
