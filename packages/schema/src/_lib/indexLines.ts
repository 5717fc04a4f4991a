import type { InputError } from "../InputError.js";

/** Where each section and key of an INI text stands. */
export type LineIndex = {
    /** Line number, from 1, by the dotted path of a section or key. */
    readonly lines: ReadonlyMap<string, number>;
    readonly duplicates: readonly InputError[];
};

/**
 * Returns the line of each section and key of an INI text, and the keys that stand twice.
 *
 * @param text - The INI text.
 * @returns The index.
 */
export function indexLines(text: string): LineIndex {
    const lines = new Map<string, number>();
    const duplicates: InputError[] = [];
    let section = "";
    for (const [index, line] of text.split("\n").entries()) {
        const header = /^\s*\[([^\]]+)\]/.exec(line);
        const entry = /^\s*([^;#=\s][^=]*?)\s*=/.exec(line);
        if (!header && !entry) {
            continue;
        }
        const path = header ? header[1]!.trim() : [section, entry![1]!].filter(part => part !== "").join(".");
        if (lines.has(path)) {
            duplicates.push({
                kind: "duplicate-key",
                message: `Line ${index + 1}: '${path}' stands twice. Remove one of the two.`,
                line: index + 1,
                key: path,
            });
        }
        lines.set(path, index + 1);
        section = header ? path : section;
    }
    return { lines, duplicates };
}

/**
 * Returns the line of a path, of the first section below it, or of its nearest enclosing section.
 *
 * @param index - The index of the text.
 * @param path - The dotted path of a section or key.
 * @returns The line number, or 1 if the path stands nowhere.
 */
export function findLine(index: LineIndex, path: string): number {
    const firstDescendant = [...index.lines].find(([candidate]) => candidate.startsWith(`${path}.`));
    const parts = path.split(".");
    if (!index.lines.has(path) && firstDescendant !== undefined) {
        return firstDescendant[1];
    }
    while (parts.length > 0) {
        const line = index.lines.get(parts.join("."));
        if (line !== undefined) {
            return line;
        }
        parts.pop();
    }
    return 1;
}
