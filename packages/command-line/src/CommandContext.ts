import type { CommandSettings, InputError } from "@balsamward/schema";
import { CommandSettingsSchema, decodeIni } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, fromThrowable, ok } from "neverthrow";
import { readFileSync } from "node:fs";
import { request } from "undici";
import { DEFAULT_SETTINGS_FILE, REQUEST_TIMEOUT_MS } from "./constants.js";
import { ExitCode } from "./ExitCode.js";

/** Options that every command has. */
export type GlobalOptions = {
    readonly settings?: string;
    readonly json?: boolean;
};

/** An answer of a daemon. */
export type DaemonResponse = {
    readonly outcome: "completed" | "refused" | "failed" | "unknown";
    readonly reason: string;
    readonly message?: string;
    readonly [field: string]: unknown;
};

/** A call to a daemon. */
export type DaemonRequest = {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body?: object;
    readonly headers?: Readonly<Record<string, string>>;
};

/** What commands work with. */
export type CommandContext = {
    readonly jsonOutput: boolean;
    /** Calls the callers' listener with the customer's token. */
    readonly callCustomerApi: (call: DaemonRequest) => Promise<DaemonResponse>;
    /** Calls the operators' interface with the operator's token. */
    readonly callOperatorApi: (call: DaemonRequest) => Promise<DaemonResponse>;
};

/**
 * Creates what commands work with, from the settings file.
 *
 * @param options - The options that every command has.
 * @returns The context, or messages that name the remedy.
 *
 * @example
 * createContext({ settings: "balsamward.ini" }).map(context => context.json);
 */
export function createCommandContext(options: GlobalOptions): Result<CommandContext, readonly string[]> {
    const settingsPath = options.settings ?? process.env["BALSAMWARD_SETTINGS"] ?? DEFAULT_SETTINGS_FILE;
    const settingsText = fromThrowable(() => readFileSync(settingsPath, "utf8"))();
    if (settingsText.isErr()) {
        return err([`The settings file '${settingsPath}' cannot be read. Name one with '--settings FILE'.`]);
    }
    const decoded: Result<CommandSettings, readonly InputError[]> = decodeIni(
        CommandSettingsSchema,
        settingsText.value,
    );
    if (decoded.isErr()) {
        return err(decoded.error.map(error => `${settingsPath}: ${error.message}`));
    }
    const { daemon, tokens } = decoded.value;
    return ok({
        jsonOutput: options.json ?? false,
        callCustomerApi: daemonRequest => callDaemon(daemon!.callers, tokens!.customer, daemonRequest),
        callOperatorApi: daemonRequest => callDaemon(daemon!.operations, tokens!.operator, daemonRequest),
    });
}

/**
 * Returns the exit code for an answer.
 *
 * @param response - The answer of a daemon.
 * @returns The exit code.
 *
 * @example
 * exitCodeOf(answer); // ExitCode.Success
 */
export function getExitCode(response: DaemonResponse): ExitCode {
    switch (response.outcome) {
        case "completed":
            return ExitCode.Success;
        case "failed":
            return ExitCode.Failed;
        case "refused":
            return response.reason.startsWith("bad-") ? ExitCode.BadInput : ExitCode.Refused;
        case "unknown":
            return ExitCode.OutcomeUnknown;
        default:
            return response.outcome satisfies never;
    }
}

async function callDaemon(
    address: string,
    token: string,
    daemonRequest: DaemonRequest,
): Promise<DaemonResponse> {
    try {
        const response = await request(`${address}${daemonRequest.path}`, {
            method: daemonRequest.method,
            headers: {
                authorization: `Bearer ${token}`,
                "content-type": "application/json",
                ...daemonRequest.headers,
            },
            body: daemonRequest.body === undefined ? null : JSON.stringify(daemonRequest.body),
            signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
        });
        return await response.body.json() as DaemonResponse;
    }
    catch (error) {
        return toFailureResponse(address, daemonRequest, error);
    }
}

function toFailureResponse(address: string, daemonRequest: DaemonRequest, error: unknown): DaemonResponse {
    const connectionRefused = (error as { code?: string }).code === "ECONNREFUSED";
    return connectionRefused || daemonRequest.method === "GET"
        ? {
            outcome: "refused",
            reason: "daemon-unreachable",
            message: `No daemon answers at ${address}. Check it.`,
        }
        : {
            outcome: "unknown",
            reason: "answer-lost",
            message: `The answer of ${address} is lost (${
                String(error)
            }). Ask for the effect before trying again.`,
        };
}
