import { logSignals } from "@balsamward/scheduler/logSignals";
import type { SignalReceiver } from "@balsamward/scheduler/receiveSignals";
import { Command } from "commander";
import { createLog } from "./createLog.js";
import { readSettings } from "./readSettings.js";
import { runDaemon } from "./runDaemon.js";

const EXIT_BAD_INPUT = 2;

/**
 * Runs the daemon in this process, as its command line says, until SIGTERM or SIGINT, and then ends the process.
 * SIGHUP is only logged: changed settings take effect when the daemon starts again.
 *
 * @param signals - Signals of the process.
 *
 * @example
 * await runDaemonProcess(receiveSignals());
 */
export async function runDaemonProcess(signals: SignalReceiver): Promise<void> {
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
    logSignals(signals, log, () => performance.now());
    await signals.deliver();
    await runDaemon(settings.value, log, signals.stopSignal, { onStarted: signals.finishStart });
    process.exit(0);
}
