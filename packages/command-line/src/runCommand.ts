import type { Command } from "commander";
import type { CommandContext, DaemonResponse, GlobalOptions } from "./CommandContext.js";
import { createCommandContext, getExitCode } from "./CommandContext.js";
import { ExitCode } from "./ExitCode.js";

/** What a command prints and how it ends. */
export type CommandResult = {
    readonly exitCode: ExitCode;
    /** Value printed with '--json'. */
    readonly data: unknown;
    /** Text printed otherwise. */
    readonly text: string;
};

/**
 * Runs a command that needs a daemon, prints its result and sets the exit code.
 *
 * Results go to the standard output, messages to the standard error output.
 *
 * @param command - The command, for the options that every command has.
 * @param execute - Does the command's work.
 *
 * @example
 * await runCommand(command, context => showStatus(context));
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
 * @param result - The result.
 * @param asJson - Whether to print its value as JSON.
 *
 * @example
 * printResult({ code: ExitCode.Success, value: {}, text: "Done." }, false);
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
 * Returns the result for a daemon's answer.
 *
 * @param response - The answer.
 * @param formatText - Returns the text of a completed answer.
 * @returns The result; any other answer is described by its outcome, reason and message.
 *
 * @example
 * resultOf(answer, () => "Done.");
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
