import type { InputError } from "../InputError.js";

/** The line numbers of the sections and keys of an INI text. */
export type LineIndex = {
    /** Line numbers, from 1, by the dotted path of the section or key. */
    readonly lines: ReadonlyMap<string, number>;
    /** An error for each repeated section or key. */
    readonly duplicates: readonly InputError[];
};

/**
 * Indexes the lines of the sections and keys of an INI text, and reports repeated ones.
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
                message: `Line ${index + 1}: '${path}' occurs more than once. Remove one of them.`,
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
 * Returns the line of a path, of the first path below it, or of its closest enclosing section.
 *
 * @param index - The index of the text.
 * @param path - The dotted path of a section or key.
 * @returns The line number, from 1; it is 1 if neither the path nor a related one is in the text.
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
