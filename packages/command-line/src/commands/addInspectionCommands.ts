import type { Command } from "commander";
import { Option } from "commander";
import { formatTable } from "../_lib/formatTable.js";
import type { CommandContext, DaemonResponse } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import type { CommandResult } from "../runCommand.js";
import { runCommand, toCommandResult } from "../runCommand.js";

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
 * Adds the commands that show operators the state of the system: status, usage and fleet.
 *
 * @param program - The root command.
 *
 * @example
 * addInspectionCommands(program);
 */
export function addInspectionCommands(program: Command): void {
    program.command("status")
        .description("show daemons, cell owners and unmet guarantees")
        .action((options: object, command: Command) =>
            runCommand(
                command,
                async context => toCommandResult(await readOperatorView(context, "status"), formatStatus),
            )
        );
    program.command("usage")
        .description("show accelerator-hours per customer and job")
        .addOption(
            new Option("--format <name>", "output format").choices(["table", "csv", "json"]).default(
                "table",
            ),
        )
        .action((options: { format: string }, command: Command) =>
            runCommand(
                command,
                async context => toUsageResult(await readOperatorView(context, "usage"), options.format),
            )
        );
    program.command("fleet")
        .description("show racks and the jobs that hold their accelerators")
        .action((options: object, command: Command) =>
            runCommand(
                command,
                async context => toCommandResult(await readOperatorView(context, "fleet"), formatFleet),
            )
        );
}

function readOperatorView(context: CommandContext, view: string): Promise<DaemonResponse> {
    return context.callOperatorApi({ method: "GET", path: `/v1/operator/${view}` });
}

function formatStatus(response: DaemonResponse): string {
    const status = response as unknown as StatusView;
    const members = formatTable(
        ["DAEMON", "DATA CENTRE", "GENERATION", "HEARD"],
        status.members.map(
            row => [row.node, row.data_centre, String(row.generation), row.heard ? "yes" : "no"],
        ),
    );
    const cells = formatTable(
        ["CELL", "OWNER", "EPOCH"],
        status.cells.map(row => [row.cell, row.owner ?? "none", String(row.epoch ?? "")]),
    );
    const shortfalls = status.shortfalls.map(row =>
        `The guarantee '${row.guarantee}' of customer '${row.customer}' is not met; missing gangs: ${row.gangs}.`
    );
    return [`${status.node} uses generation ${status.generation}.`, members, cells, ...shortfalls].join(
        "\n\n",
    );
}

function toUsageResult(response: DaemonResponse, format: string): CommandResult {
    const missingCells = (response["missing"] ?? []) as readonly string[];
    if (missingCells.length > 0) {
        process.stderr.write(
            `The usage of ${
                missingCells.join(", ")
            } is not included because no owner responds. Try again later.\n`,
        );
    }
    const rows = ((response["jobs"] ?? []) as readonly UsageRow[]).toSorted((left, right) =>
        left.customer.localeCompare(right.customer) || left.id.localeCompare(right.id)
    );
    const header = ["CUSTOMER", "JOB", "GUARANTEED_HOURS", "BORROWED_HOURS"];
    const tableRows = rows.map(row => [
        row.customer,
        row.id,
        row.guaranteed_hours.toFixed(6),
        row.borrowed_hours.toFixed(6),
    ]);
    const result = toCommandResult(response, () =>
        format === "csv"
            ? [header.map(title => title.toLowerCase()), ...tableRows].map(line => line.join(",")).join("\n")
            : format === "json"
            ? JSON.stringify(rows)
            : formatTable(header, [...tableRows, ...computeTotals(rows)]));
    return missingCells.length > 0 && result.exitCode === ExitCode.Success
        ? { ...result, exitCode: ExitCode.OutcomeUnknown }
        : result;
}

function computeTotals(rows: readonly UsageRow[]): readonly (readonly string[])[] {
    return [...new Set(rows.map(row => row.customer))].map(customer => {
        const customerRows = rows.filter(row => row.customer === customer);
        const sumHours = (getHours: (row: UsageRow) => number) =>
            customerRows.reduce((total, row) => total + getHours(row), 0).toFixed(6);
        return [
            customer,
            "TOTAL",
            sumHours(row => row.guaranteed_hours),
            sumHours(row => row.borrowed_hours),
        ];
    });
}

/**
 * Formats one line per worker with one symbol per accelerator: the letter of the job that holds it, '.' if it is
 * free, or 'x' if it is free on an unhealthy worker. A legend maps letters to jobs; after 26 jobs letters repeat.
 */
function formatFleet(response: DaemonResponse): string {
    const cells = response["cells"] as readonly CellView[];
    const letterByJob = new Map<string, string>();
    const getLetter = (job: string) => {
        const letter = letterByJob.get(job) ?? String.fromCharCode(65 + letterByJob.size % 26);
        letterByJob.set(job, letter);
        return letter;
    };
    const lines = cells.flatMap(cell => [
        `${cell.cell}: fragmentation ${cell.fragmentation.toFixed(2)}`,
        ...cell.racks.flatMap(rack => [
            `  rack ${rack.rack}`,
            ...rack.workers.map(worker => {
                const symbols = worker.holders.map(job =>
                    job === "" ? worker.healthy ? "." : "x" : getLetter(job)
                );
                return `    ${symbols.join("")}  ${worker.worker}`;
            }),
        ]),
    ]);
    const legend = [...letterByJob].map(([job, letter]) => `${letter}  ${job}`);
    return [...lines, ...legend].join("\n");
}
