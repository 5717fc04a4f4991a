import type { Command } from "commander";
import { createReadStream } from "node:fs";
import { createInterface } from "node:readline";
import type { Readable } from "node:stream";
import type { GlobalOptions } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import { formatTimeline } from "../explain/formatTimeline.js";
import type { LogLine } from "../explain/LogLine.js";
import { parseLogLine } from "../explain/parseLogLine.js";
import { selectTimeline } from "../explain/selectTimeline.js";
import type { CommandResult } from "../runCommand.js";
import { printResult } from "../runCommand.js";

/**
 * Adds the command 'explain', which builds the timeline of one request from the daemons' logs.
 *
 * @param program - The root command.
 *
 * @example
 * addExplainCommand(program); // balsamward explain 5c0e7a21d94b36f8 entry-*.log
 */
export function addExplainCommand(program: Command): void {
    program.command("explain")
        .description("show the timeline of one request from the logs of all daemons")
        .argument("<id>", "id of the request or job")
        .argument("[files...]", "log files of the daemons (default: standard input)")
        .action(async (id: string, files: readonly string[], _options: object, command: Command) => {
            const { json } = command.optsWithGlobals<GlobalOptions>();
            printResult(await explainRequest(id, files), json ?? false);
        });
}

async function explainRequest(id: string, files: readonly string[]): Promise<CommandResult> {
    const inputs = files.length === 0 ? [process.stdin] : files.map(file => createReadStream(file));
    try {
        const timeline = selectTimeline((await Promise.all(inputs.map(readLogLines))).flat(), id);
        return timeline.length === 0
            ? {
                exitCode: ExitCode.Failed,
                data: [],
                text: `No log line refers to '${id}'. Check the id, and pass the logs of all daemons.`,
            }
            : { exitCode: ExitCode.Success, data: timeline, text: formatTimeline(timeline, id) };
    }
    catch (error) {
        const text = `Cannot read the logs (${(error as Error).message}). Pass readable log files.`;
        return { exitCode: ExitCode.BadInput, data: { error: text }, text };
    }
}

async function readLogLines(stream: Readable): Promise<readonly LogLine[]> {
    const lines: LogLine[] = [];
    for await (const text of createInterface({ input: stream })) {
        const line = parseLogLine(text);
        if (line !== undefined) {
            lines.push(line);
        }
    }
    return lines;
}
