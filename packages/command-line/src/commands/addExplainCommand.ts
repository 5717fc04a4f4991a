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
 * Adds the command that tells the story of one request from the daemons' logs.
 *
 * @param program - The program.
 *
 * @example
 * addExplainCommand(program); // balsamward explain 5c0e7a21d94b36f8 entry-*.log
 */
export function addExplainCommand(program: Command): void {
    program.command("explain")
        .description("tell the story of one request from the logs of all daemons")
        .argument("<id>", "the request's id")
        .argument("[files...]", "logs of the daemons (default: standard input)")
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
                text: `No line names '${id}'. Check the id, and pass the logs of all daemons.`,
            }
            : { exitCode: ExitCode.Success, data: timeline, text: formatTimeline(timeline, id) };
    }
    catch (error) {
        const text = `The logs cannot be read (${(error as Error).message}). Name readable files.`;
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
