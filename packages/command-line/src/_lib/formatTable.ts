/**
 * Formats rows as a table with aligned columns.
 *
 * @param header - The column titles.
 * @param rows - The rows.
 * @returns The lines of the table.
 */
export function formatTable(header: readonly string[], rows: readonly (readonly string[])[]): string {
    const allRows = [header, ...rows];
    const widths = header.map((_, column) => Math.max(...allRows.map(row => (row[column] ?? "").length)));
    return allRows
        .map(row => row.map((cell, column) => cell.padEnd(widths[column]!)).join("  ").trimEnd())
        .join("\n");
}
