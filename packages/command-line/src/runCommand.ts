import type { Command } from "commander";
import type { Answer, Context, GlobalOptions } from "./Context.js";
import { createContext, exitCodeOf } from "./Context.js";
import { ExitCode } from "./ExitCode.js";

/** What a command prints and how it ends. */
export type CommandResult = {
    readonly code: ExitCode;
    /** Value printed with '--json'. */
    readonly value: unknown;
    /** Text printed otherwise. */
    readonly text: string;
};

/**
 * Runs a command that needs a daemon, prints its result and sets the exit code.
 *
 * Results go to the standard output, messages to the standard error output.
 *
 * @param command - The command, for the options that every command has.
 * @param act - Does the command's work.
 *
 * @example
 * await runCommand(command, context => showStatus(context));
 */
export async function runCommand(
    command: Command,
    act: (context: Context) => Promise<CommandResult>,
): Promise<void> {
    const options = command.optsWithGlobals<GlobalOptions>();
    const context = createContext(options);
    if (context.isErr()) {
        process.stderr.write(`${context.error.join("\n")}\n`);
        process.exitCode = ExitCode.BadInput;
        return;
    }
    printResult(await act(context.value), context.value.json);
}

/**
 * Prints a result and sets the exit code.
 *
 * @param result - The result.
 * @param json - Whether to print its value as JSON.
 *
 * @example
 * printResult({ code: ExitCode.Done, value: {}, text: "Done." }, false);
 */
export function printResult(result: CommandResult, json: boolean): void {
    process.exitCode = result.code;
    if (json) {
        process.stdout.write(`${JSON.stringify(result.value)}\n`);
        return;
    }
    const output = result.code === ExitCode.Done ? process.stdout : process.stderr;
    output.write(`${result.text}\n`);
}

/**
 * Returns the result for a daemon's answer.
 *
 * @param answer - The answer.
 * @param describe - Returns the text of a completed answer.
 * @returns The result; any other answer is described by its outcome, reason and message.
 *
 * @example
 * resultOf(answer, () => "Done.");
 */
export function resultOf(answer: Answer, describe: (answer: Answer) => string): CommandResult {
    const text = answer.outcome === "completed"
        ? describe(answer)
        : `${answer.outcome} (${answer.reason}): ${answer.message ?? ""}`;
    return { code: exitCodeOf(answer), value: answer, text };
}
