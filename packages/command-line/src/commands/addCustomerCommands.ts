import type { Command } from "commander";
import { InvalidArgumentError } from "commander";
import { setTimeout as sleep } from "node:timers/promises";
import type { CommandContext, DaemonResponse } from "../CommandContext.js";
import { JOB_POLL_INTERVAL_MS } from "../constants.js";
import type { CommandResult } from "../runCommand.js";
import { runCommand, toCommandResult } from "../runCommand.js";

type SubmitOptions = {
    readonly kind: string;
    readonly members: number;
    readonly accelerators: number;
    readonly adjacency: string;
    readonly runMs: number;
    readonly key?: string;
    readonly wait?: string;
};
type RequestOptions = {
    readonly kind: string;
    readonly payload: unknown;
    readonly caller?: string;
    readonly key?: string;
};
type JobView = {
    readonly id: string;
    readonly stage: string;
    readonly standing?: string;
    readonly workers: readonly string[];
    readonly waits_for?: string;
    readonly reason?: string;
};

/**
 * Adds the commands for customers: submit, job, cancel and request.
 *
 * @param program - The root command.
 *
 * @example
 * addCustomerCommands(program);
 */
export function addCustomerCommands(program: Command): void {
    program.command("submit")
        .description("submit a gang-scheduled job")
        .requiredOption("--kind <name>", "kind of work in the document")
        .requiredOption("--members <count>", "number of gang members", parseWholeNumber)
        .requiredOption("--accelerators <count>", "accelerators per member", parseWholeNumber)
        .option("--adjacency <level>", "'worker', 'rack' or 'data-centre'", "data-centre")
        .requiredOption("--run-ms <ms>", "declared run time in milliseconds", parseWholeNumber)
        .option("--key <text>", "idempotency key")
        .option("--wait <stage>", "wait until the job is 'running' or 'ended'")
        .addHelpText(
            "after",
            "\nExample:\n  balsamward submit --kind lane-reconciliation --members 4 "
                + "--accelerators 8 --adjacency rack --run-ms 60000 --key nightly-7",
        )
        .action((options: SubmitOptions, command: Command) =>
            runCommand(command, context => submitJob(context, options))
        );
    program.command("job <id>")
        .description("show a job and, while it waits, the reason")
        .action((id: string, options: object, command: Command) =>
            runCommand(command, async context => toCommandResult(await readJob(context, id), formatJob))
        );
    program.command("cancel <id>")
        .description("cancel a job")
        .action((id: string, options: object, command: Command) =>
            runCommand(command, async context => {
                const path = `/v1/jobs/${encodeURIComponent(id)}`;
                return toCommandResult(await context.callCustomerApi({ method: "DELETE", path }), () =>
                    "The job is cancelled.");
            })
        );
    program.command("request")
        .description("send a request and print the answer")
        .requiredOption("--kind <name>", "kind of work in the document")
        .option("--payload <json>", "request payload as JSON", parseJson, {})
        .option("--caller <name>", "name of the caller within the customer")
        .option("--key <text>", "idempotency key")
        .addHelpText("after", "\nExample:\n  balsamward request --kind walk-in --payload '{\"lane\":4}'")
        .action((options: RequestOptions, command: Command) =>
            runCommand(command, context => sendRequest(context, options))
        );
}

async function submitJob(context: CommandContext, options: SubmitOptions): Promise<CommandResult> {
    const response = await context.callCustomerApi({
        method: "POST",
        path: "/v1/jobs",
        headers: idempotencyHeaders(options.key),
        body: {
            kind: options.kind,
            members: options.members,
            accelerators_per_member: options.accelerators,
            adjacency: options.adjacency,
            run_ms: options.runMs,
        },
    });
    if (response.outcome !== "completed" || options.wait === undefined) {
        return toCommandResult(response, formatJob);
    }
    return waitForStage(context, (response["job"] as JobView).id, options.wait);
}

async function waitForStage(context: CommandContext, id: string, stage: string): Promise<CommandResult> {
    const acceptedStages = stage === "running" ? ["running", "ended"] : ["ended"];
    for (;;) {
        const response = await readJob(context, id);
        const job = response["job"] as JobView | undefined;
        const notFound = response.outcome !== "completed" && response.reason === "not-found";
        if (notFound || job !== undefined && acceptedStages.includes(job.stage)) {
            return toCommandResult(response, formatJob);
        }
        if (process.stderr.isTTY) {
            process.stderr.write(`\r${id}: ${job?.stage ?? response.reason}        `);
        }
        await sleep(JOB_POLL_INTERVAL_MS);
    }
}

function readJob(context: CommandContext, id: string): Promise<DaemonResponse> {
    return context.callCustomerApi({ method: "GET", path: `/v1/jobs/${encodeURIComponent(id)}` });
}

async function sendRequest(context: CommandContext, options: RequestOptions): Promise<CommandResult> {
    const response = await context.callCustomerApi({
        method: "POST",
        path: "/v1/requests",
        headers: idempotencyHeaders(options.key),
        body: { kind: options.kind, payload: options.payload, caller: options.caller },
    });
    return toCommandResult(response, completed => JSON.stringify(completed["answer"] ?? completed));
}

function idempotencyHeaders(key: string | undefined): Readonly<Record<string, string>> {
    return key === undefined ? {} : { "idempotency-key": key };
}

function formatJob(response: DaemonResponse): string {
    const job = response["job"] as JobView;
    const placement = job.workers.length > 0 ? ` on ${job.workers.join(", ")}` : "";
    const standing = job.standing === undefined ? "" : ` (${job.standing})`;
    const waitReason = job.waits_for === undefined ? "" : `\n${job.waits_for}`;
    return `${job.id}: ${job.stage}${standing}${placement}${waitReason}`;
}

function parseWholeNumber(text: string): number {
    if (!/^\d+$/.test(text)) {
        throw new InvalidArgumentError("Expected a whole number, such as 8.");
    }
    return Number(text);
}

function parseJson(text: string): unknown {
    try {
        return JSON.parse(text);
    }
    catch {
        throw new InvalidArgumentError("Expected valid JSON.");
    }
}
