/**
 * Formats rows as a plain-text table with aligned columns.
 *
 * @param header - The column titles.
 * @param rows - The rows.
 * @returns The table, one line per row, starting with the column titles.
 */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const allRows = [header, ...rows];
    const widths = header.map((_, column) => Math.max(...allRows.map(row => (row[column] ?? "").length)));
    return allRows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd())
        .join("\n");
}
