import type { Command } from "commander";
import { Option } from "commander";
import { formatTable } from "../_lib/formatTable.js";
import type { Answer, Context } from "../Context.js";
import { ExitCode } from "../ExitCode.js";
import type { CommandResult } from "../runCommand.js";
import { resultOf, runCommand } from "../runCommand.js";

type UsageRow = {
    readonly id: string;
    readonly customer: string;
    readonly guaranteed_hours: number;
    readonly borrowed_hours: number;
};
type CellView = {
    readonly cell: string;
    readonly fragmentation: number;
    readonly racks: readonly {
        readonly rack: number;
        readonly workers: readonly {
            readonly worker: string;
            readonly healthy: boolean;
            readonly holders: readonly string[];
        }[];
    }[];
};
type StatusView = {
    readonly node: string;
    readonly generation: number;
    readonly members: readonly { node: string; data_centre: string; generation: number; heard: boolean }[];
    readonly cells: readonly { cell: string; owner?: string; epoch?: number }[];
    readonly shortfalls: readonly { customer: string; guarantee: string; gangs: number }[];
};

/**
 * Adds the commands that show the system to operators: status, usage and fleet.
 *
 * @param program - The program.
 *
 * @example
 * addInspectionCommands(program);
 */
export function addInspectionCommands(program: Command): void {
    program.command("status")
        .description("show daemons, owners of cells and guarantees that are short")
        .action((options: object, command: Command) =>
            runCommand(command, async context => resultOf(await inspect(context, "status"), describeStatus))
        );
    program.command("usage")
        .description("show accelerator-hours by customer and job")
        .addOption(
            new Option("--format <name>", "form of the report").choices(["table", "csv", "json"]).default(
                "table",
            ),
        )
        .action((options: { format: string }, command: Command) =>
            runCommand(
                command,
                async context => describeUsage(await inspect(context, "usage"), options.format),
            )
        );
    program.command("fleet")
        .description("show racks and what holds them")
        .action((options: object, command: Command) =>
            runCommand(command, async context => resultOf(await inspect(context, "fleet"), describeFleet))
        );
}

function inspect(context: Context, what: string): Promise<Answer> {
    return context.callOperations({ method: "GET", path: `/v1/operator/${what}` });
}

function describeStatus(answer: Answer): string {
    const view = answer as unknown as StatusView;
    const members = formatTable(
        ["DAEMON", "DATA CENTRE", "GENERATION", "HEARD"],
        view.members.map(
            row => [row.node, row.data_centre, String(row.generation), row.heard ? "yes" : "no"],
        ),
    );
    const cells = formatTable(
        ["CELL", "OWNER", "EPOCH"],
        view.cells.map(row => [row.cell, row.owner ?? "none", String(row.epoch ?? "")]),
    );
    const shortfalls = view.shortfalls.map(row =>
        `Short: ${row.gangs} of the guarantee '${row.guarantee}' of '${row.customer}'.`
    );
    return [`${view.node} uses generation ${view.generation}.`, members, cells, ...shortfalls].join("\n\n");
}

function describeUsage(answer: Answer, format: string): CommandResult {
    const missing = (answer["missing"] ?? []) as readonly string[];
    if (missing.length > 0) {
        process.stderr.write(
            `The usage of ${missing.join(", ")} is not included: no owner answers. Try again.\n`,
        );
    }
    const rows = ((answer["jobs"] ?? []) as readonly UsageRow[]).toSorted((left, right) =>
        left.customer.localeCompare(right.customer) || left.id.localeCompare(right.id)
    );
    const header = ["CUSTOMER", "JOB", "GUARANTEED_HOURS", "BORROWED_HOURS"];
    const lines = rows.map(row => [
        row.customer,
        row.id,
        row.guaranteed_hours.toFixed(6),
        row.borrowed_hours.toFixed(6),
    ]);
    const result = resultOf(answer, () =>
        format === "csv"
            ? [header.map(title => title.toLowerCase()), ...lines].map(line => line.join(",")).join("\n")
            : format === "json"
            ? JSON.stringify(rows)
            : formatTable(header, [...lines, ...totals(rows)]));
    return missing.length > 0 && result.code === ExitCode.Done
        ? { ...result, code: ExitCode.Unknown }
        : result;
}

function totals(rows: readonly UsageRow[]): readonly (readonly string[])[] {
    return [...new Set(rows.map(row => row.customer))].map(customer => {
        const own = rows.filter(row => row.customer === customer);
        const sum = (of: (row: UsageRow) => number) =>
            own.reduce((total, row) => total + of(row), 0).toFixed(6);
        return [customer, "TOTAL", sum(row => row.guaranteed_hours), sum(row => row.borrowed_hours)];
    });
}

/** One line for each worker: a letter for each accelerator's job, '.' for free, 'x' for an unhealthy worker. */
function describeFleet(answer: Answer): string {
    const cells = answer["cells"] as readonly CellView[];
    const letters = new Map<string, string>();
    const letterOf = (job: string) => {
        const letter = letters.get(job) ?? String.fromCharCode(65 + letters.size % 26);
        letters.set(job, letter);
        return letter;
    };
    const lines = cells.flatMap(cell => [
        `${cell.cell}: fragmentation ${cell.fragmentation.toFixed(2)}`,
        ...cell.racks.flatMap(rack => [
            `  rack ${rack.rack}`,
            ...rack.workers.map(worker => {
                const row = worker.holders.map(job =>
                    job === "" ? worker.healthy ? "." : "x" : letterOf(job)
                );
                return `    ${row.join("")}  ${worker.worker}`;
            }),
        ]),
    ]);
    const legend = [...letters].map(([job, letter]) => `${letter}  ${job}`);
    return [...lines, ...legend].join("\n");
}
