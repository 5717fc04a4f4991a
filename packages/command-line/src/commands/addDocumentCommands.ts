import { checkDocument } from "@balsamward/placement";
import { sha256Hex } from "@balsamward/schema";
import type { Command } from "commander";
import { fromThrowable } from "neverthrow";
import { readFileSync } from "node:fs";
import { userInfo } from "node:os";
import { formatTable } from "../_lib/formatTable.js";
import type { Answer, Context, GlobalOptions } from "../Context.js";
import { ExitCode } from "../ExitCode.js";
import type { CommandResult } from "../runCommand.js";
import { printResult, resultOf, runCommand } from "../runCommand.js";

type HistoryRow = {
    readonly generation: number;
    readonly digest: string;
    readonly author: string;
    readonly accepted_at_ms: number;
};

/**
 * Adds the commands that work on the operators' document: check, try, promote, diff and history.
 *
 * @param program - The program.
 *
 * @example
 * addDocumentCommands(program);
 */
export function addDocumentCommands(program: Command): void {
    program.command("check <file>")
        .description("check a document, without a daemon")
        .action((file: string, options: object, command: Command) => {
            printResult(check(file), command.optsWithGlobals<GlobalOptions>().json ?? false);
        });
    program.command("try <file>")
        .description("put a document into the trial environment")
        .option("--author <name>", "name kept in the history")
        .action((file: string, options: { author?: string }, command: Command) =>
            runCommand(command, context => tryDocument(context, file, options.author))
        );
    program.command("promote")
        .description("put the trial's document, byte for byte, into production")
        .option("--digest <sha256>", "promote only if the trial's document has this digest")
        .option("--expect <generation>", "promote only if production has this generation", Number)
        .option("--author <name>", "name kept in the history")
        .action((options: PromoteOptions, command: Command) =>
            runCommand(command, context => promote(context, options))
        );
    program.command("diff")
        .description("compare the documents of trial and production")
        .action((options: object, command: Command) => runCommand(command, diff));
    program.command("history")
        .description("list the accepted documents of an environment")
        .option("--environment <name>", "'trial' or 'production'", "production")
        .action((options: { environment: string }, command: Command) =>
            runCommand(command, context => history(context, options.environment))
        );
}

type PromoteOptions = { readonly digest?: string; readonly expect?: number; readonly author?: string };

function check(file: string): CommandResult {
    const text = fromThrowable(() => readFileSync(file, "utf8"))();
    if (text.isErr()) {
        const message = `The file '${file}' cannot be read. Check path and rights.`;
        return { code: ExitCode.BadInput, value: { errors: [{ message }] }, text: message };
    }
    const checked = checkDocument(text.value);
    if (checked.isErr()) {
        const errors = checked.error;
        return {
            code: ExitCode.BadInput,
            value: { errors },
            text: errors.map(error => error.message).join("\n"),
        };
    }
    const digest = sha256Hex(text.value);
    return { code: ExitCode.Done, value: { digest }, text: `The document is good. Its digest is ${digest}.` };
}

async function tryDocument(
    context: Context,
    file: string,
    author: string | undefined,
): Promise<CommandResult> {
    const checked = check(file);
    if (checked.code !== ExitCode.Done) {
        return checked;
    }
    const body = { text: readFileSync(file, "utf8"), author: author ?? userInfo().username };
    return resultOf(
        await context.callOperations({ method: "POST", path: "/v1/operator/trial", body }),
        describeAccepted,
    );
}

async function promote(context: Context, options: PromoteOptions): Promise<CommandResult> {
    const body = {
        digest: options.digest,
        expected_generation: options.expect,
        author: options.author ?? userInfo().username,
    };
    const answer = await context.callOperations({ method: "POST", path: "/v1/operator/promotion", body });
    return resultOf(answer, describeAccepted);
}

async function diff(context: Context): Promise<CommandResult> {
    const trial = await readConfiguration(context, "trial");
    const production = await readConfiguration(context, "production");
    if (trial.outcome !== "completed") {
        return resultOf(trial, () => "");
    }
    const before = production.outcome === "completed" ? String(production["text"]).split("\n") : [];
    const after = String(trial["text"]).split("\n");
    const removed = before.filter(line => !after.includes(line)).map(line => `- ${line}`);
    const added = after.filter(line => !before.includes(line)).map(line => `+ ${line}`);
    const same = production["digest"] === trial["digest"];
    const text = same ? "Trial and production have the same document." : [...removed, ...added].join("\n");
    return { code: ExitCode.Done, value: { same, removed, added }, text };
}

async function history(context: Context, environment: string): Promise<CommandResult> {
    return resultOf(await readConfiguration(context, environment), answer => {
        const rows = answer["history"] as readonly HistoryRow[];
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

function readConfiguration(context: Context, environment: string): Promise<Answer> {
    return context.callOperations({ method: "GET", path: `/v1/operator/configurations/${environment}` });
}

function describeAccepted(answer: Answer): string {
    return `Generation ${String(answer["generation"])} is accepted in '${String(answer["environment"])}'. `
        + `Its digest is ${String(answer["digest"])}.`;
}
