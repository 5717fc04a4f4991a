import { checkDocument } from "@balsamward/placement";
import { sha256Hex } from "@balsamward/schema";
import type { Command } from "commander";
import { fromThrowable } from "neverthrow";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { formatTable } from "../_lib/formatTable.js";
import type { CommandContext, DaemonResponse, GlobalOptions } from "../CommandContext.js";
import { ExitCode } from "../ExitCode.js";
import type { CommandResult } from "../runCommand.js";
import { printResult, runCommand, toCommandResult } from "../runCommand.js";

type HistoryRow = {
    readonly generation: number;
    readonly digest: string;
    readonly author: string;
    readonly accepted_at_ms: number;
};

/**
 * Adds the commands for the configuration document: check, try, promote, diff and history.
 *
 * @param program - The root command.
 *
 * @example
 * addDocumentCommands(program);
 */
export function addDocumentCommands(program: Command): void {
    program.command("check <file>")
        .description("validate a document locally, without a daemon")
        .action((file: string, options: object, command: Command) => {
            printResult(checkFile(file), command.optsWithGlobals<GlobalOptions>().json ?? false);
        });
    program.command("try <file>")
        .description("validate a document and put it into the trial environment")
        .option("--author <name>", "author recorded in the history")
        .action((file: string, options: { author?: string }, command: Command) =>
            runCommand(command, context => putIntoTrial(context, file, options.author))
        );
    program.command("promote")
        .description("copy the trial document, byte for byte, to production")
        .option("--digest <sha256>", "promote only if the trial document has this digest")
        .option("--expect <generation>", "promote only if production is at this generation", Number)
        .option("--author <name>", "author recorded in the history")
        .action((options: PromoteOptions, command: Command) =>
            runCommand(command, context => promoteTrial(context, options))
        );
    program.command("diff")
        .description("compare the trial and production documents")
        .action((options: object, command: Command) => runCommand(command, diffEnvironments));
    program.command("history")
        .description("list the accepted documents of an environment")
        .option("--environment <name>", "'trial' or 'production'", "production")
        .action((options: { environment: string }, command: Command) =>
            runCommand(command, context => showHistory(context, options.environment))
        );
}

type PromoteOptions = { readonly digest?: string; readonly expect?: number; readonly author?: string };

function checkFile(file: string): CommandResult {
    const text = fromThrowable(() => readFileSync(file, "utf8"))();
    if (text.isErr()) {
        const message = `Cannot read the file '${file}'. Check its path and permissions.`;
        return { exitCode: ExitCode.BadInput, data: { errors: [{ message }] }, text: message };
    }
    const checked = checkDocument(text.value);
    if (checked.isErr()) {
        const errors = checked.error;
        return {
            exitCode: ExitCode.BadInput,
            data: { errors },
            text: errors.map(error => error.message).join("\n"),
        };
    }
    const digest = sha256Hex(text.value);
    return {
        exitCode: ExitCode.Success,
        data: { digest },
        text: `The document is valid. Its digest is ${digest}.`,
    };
}

async function putIntoTrial(
    context: CommandContext,
    file: string,
    author: string | undefined,
): Promise<CommandResult> {
    const checkResult = checkFile(file);
    if (checkResult.exitCode !== ExitCode.Success) {
        return checkResult;
    }
    const body = { text: readFileSync(file, "utf8"), author: author ?? userInfo().username };
    return toCommandResult(
        await context.callOperatorApi({ method: "POST", path: "/v1/operator/trial", body }),
        formatAcceptance,
    );
}

async function promoteTrial(context: CommandContext, options: PromoteOptions): Promise<CommandResult> {
    const body = {
        digest: options.digest,
        expected_generation: options.expect,
        author: options.author ?? userInfo().username,
    };
    const response = await context.callOperatorApi({ method: "POST", path: "/v1/operator/promotion", body });
    return toCommandResult(response, formatAcceptance);
}

async function diffEnvironments(context: CommandContext): Promise<CommandResult> {
    const trial = await readConfiguration(context, "trial");
    const production = await readConfiguration(context, "production");
    if (trial.outcome !== "completed") {
        return toCommandResult(trial, () => "");
    }
    const productionLines = production.outcome === "completed" ? String(production["text"]).split("\n") : [];
    const trialLines = String(trial["text"]).split("\n");
    const removed = productionLines.filter(line => !trialLines.includes(line)).map(line => `- ${line}`);
    const added = trialLines.filter(line => !productionLines.includes(line)).map(line => `+ ${line}`);
    const isIdentical = production["digest"] === trial["digest"];
    const text = isIdentical
        ? "The trial and production documents are identical."
        : [...removed, ...added].join("\n");
    return { exitCode: ExitCode.Success, data: { same: isIdentical, removed, added }, text };
}

async function showHistory(context: CommandContext, environment: string): Promise<CommandResult> {
    return toCommandResult(await readConfiguration(context, environment), response => {
        const rows = response["history"] as readonly HistoryRow[];
        return formatTable(
            ["GENERATION", "DIGEST", "AUTHOR", "ACCEPTED"],
            rows.map(row => [
                String(row.generation),
                row.digest.slice(0, 12),
                row.author,
                new Date(row.accepted_at_ms).toISOString(),
            ]),
        );
    });
}

function readConfiguration(context: CommandContext, environment: string): Promise<DaemonResponse> {
    return context.callOperatorApi({ method: "GET", path: `/v1/operator/configurations/${environment}` });
}

function formatAcceptance(response: DaemonResponse): string {
    return `Generation ${String(response["generation"])} is accepted in '${
        String(response["environment"])
    }'. `
        + `Its digest is ${String(response["digest"])}.`;
}
