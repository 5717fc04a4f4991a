import { Command } from "commander";
import { measureCapacity } from "./measureCapacity.js";
import { measureFleet } from "./measureFleet.js";
import { measurePath } from "./measurePath.js";
import { measureStop } from "./measureStop.js";
import type { Report } from "./Report.js";

const measurements: ReadonlyMap<string, () => Promise<Report>> = new Map([
    ["capacity", measureCapacity],
    ["fleet", measureFleet],
    ["path", measurePath],
    ["stop", measureStop],
]);

const program = new Command("measure")
    .description(
        "Runs a measurement with a fixed seed, against its baseline where there is one.",
    )
    .argument("<name>", `one of ${[...measurements.keys()].join(", ")}`)
    .option("--json", "print the report as JSON")
    .action(async (name: string, options: { json?: boolean }) => {
        const measure = measurements.get(name);
        if (measure === undefined) {
            return program.error(
                `Unknown measurement '${name}'. Use one of ${[...measurements.keys()].join(", ")}.`,
            );
        }
        printReport(await measure(), options.json ?? false);
    });
await program.parseAsync();

function printReport(report: Report, json: boolean): void {
    process.exitCode = report.failed ? 1 : 0;
    if (json) {
        process.stdout.write(`${JSON.stringify(report)}\n`);
        return;
    }
    const width = Math.max(...report.rows.map(([label]) => label!.length));
    const lines = report.rows.map(([label, ...cells]) => `${label!.padEnd(width)}  ${cells.join("  ")}`);
    process.stdout.write(`${lines.join("\n")}\n`);
}
