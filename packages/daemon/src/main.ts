import { Command } from "commander";
import { createLog } from "./createLog.js";
import { readSettings } from "./readSettings.js";
import { runDaemon } from "./runDaemon.js";

const EXIT_BAD_INPUT = 2;

const program = new Command("balsamwardd")
    .description("Schedules jobs and routes requests; one of several equal daemons.")
    .requiredOption("--settings <file>", "INI file with the daemon's settings")
    .addHelpText("after", "\nExample:\n  balsamwardd --settings /etc/balsamward/balsamwardd.ini")
    .exitOverride(error => process.exit(error.exitCode === 0 ? 0 : EXIT_BAD_INPUT));

program.parse();
const settings = readSettings(program.opts<{ settings: string }>().settings);
if (settings.isErr()) {
    process.stderr.write(`${settings.error.map(error => error.message).join("\n")}\n`);
    process.exit(EXIT_BAD_INPUT);
}
const log = createLog(settings.value.log!, settings.value.node!.id);
const stop = new AbortController();
process.once("SIGTERM", () => stop.abort());
process.once("SIGINT", () => stop.abort());
await runDaemon(settings.value, log, stop.signal);
process.exit(0);
