import type { Command } from "commander";
import type { CommandContext, DaemonResponse, GlobalOptions } from "./CommandContext.js";
import { createCommandContext, getExitCode } from "./CommandContext.js";
import { ExitCode } from "./ExitCode.js";

/** Output and exit code of a command. */
export type CommandResult = {
    readonly exitCode: ExitCode;
    /** Value printed as JSON with '--json'. */
    readonly data: unknown;
    /** Text printed without '--json'. */
    readonly text: string;
};

/**
 * Runs a command that needs a daemon, prints its result and sets the exit code.
 *
 * If the settings are invalid, prints the errors to standard error and does not run the command.
 *
 * @param command - The parsed command, which holds the options shared by all commands.
 * @param execute - Runs the command and returns its result.
 *
 * @example
 * await runCommand(command, context => promoteTrial(context, options));
 */
export async function runCommand(
    command: Command,
    execute: (context: CommandContext) => Promise<CommandResult>,
): Promise<void> {
    const options = command.optsWithGlobals<GlobalOptions>();
    const context = createCommandContext(options);
    if (context.isErr()) {
        process.stderr.write(`${context.error.join("\n")}\n`);
        process.exitCode = ExitCode.BadInput;
        return;
    }
    printResult(await execute(context.value), context.value.jsonOutput);
}

/**
 * Prints a result and sets the exit code.
 *
 * JSON and the text of a success go to standard output, any other text to standard error.
 *
 * @param result - The result.
 * @param asJson - Whether to print the result's data as JSON instead of its text.
 *
 * @example
 * printResult({ exitCode: ExitCode.Success, data: {}, text: "Done." }, false);
 */
export function printResult(result: CommandResult, asJson: boolean): void {
    process.exitCode = result.exitCode;
    if (asJson) {
        process.stdout.write(`${JSON.stringify(result.data)}\n`);
        return;
    }
    const output = result.exitCode === ExitCode.Success ? process.stdout : process.stderr;
    output.write(`${result.text}\n`);
}

/**
 * Converts a daemon's response to a command result.
 *
 * @param response - The response.
 * @param formatText - Formats the text for a response whose outcome is 'completed'.
 * @returns The result; for any other outcome its text holds the outcome, reason and message.
 *
 * @example
 * toCommandResult(response, () => "Done.");
 */
export function toCommandResult(
    response: DaemonResponse,
    formatText: (answer: DaemonResponse) => string,
): CommandResult {
    const text = response.outcome === "completed"
        ? formatText(response)
        : `${response.outcome} (${response.reason}): ${response.message ?? ""}`;
    return { exitCode: getExitCode(response), data: response, text };
}
