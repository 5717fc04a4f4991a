import type { CommandSettings, InputError } from "@balsamward/schema";
import { CommandSettingsSchema, decodeIni } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, fromThrowable, ok } from "neverthrow";
import { readFileSync } from "node:fs";
import { request } from "undici";
import { DEFAULT_SETTINGS_FILE, REQUEST_TIMEOUT_MS } from "./constants.js";
import { ExitCode } from "./ExitCode.js";

/** Command-line options shared by all commands. */
export type GlobalOptions = {
    readonly settings?: string;
    readonly json?: boolean;
};

/** A JSON response from a daemon. */
export type DaemonResponse = {
    readonly outcome: "completed" | "refused" | "failed" | "unknown";
    readonly reason: string;
    readonly message?: string;
    readonly [field: string]: unknown;
};

/** An HTTP request to a daemon. */
export type DaemonRequest = {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body?: object;
    readonly headers?: Readonly<Record<string, string>>;
};

/** Output mode and API clients shared by the commands. */
export type CommandContext = {
    readonly jsonOutput: boolean;
    /** Calls the daemon's customer API with the customer's token. */
    readonly callCustomerApi: (call: DaemonRequest) => Promise<DaemonResponse>;
    /** Calls the daemon's operator API with the operator's token. */
    readonly callOperatorApi: (call: DaemonRequest) => Promise<DaemonResponse>;
};

/**
 * Creates the command context from the settings file.
 *
 * The file is taken from '--settings', then from BALSAMWARD_SETTINGS, then from the default path.
 *
 * @param options - The options shared by all commands.
 * @returns The context, or error messages that say how to fix the settings.
 *
 * @example
 * createCommandContext({ settings: "balsamward.ini" }).map(context => context.jsonOutput);
 */
export function createCommandContext(options: GlobalOptions): Result<CommandContext, readonly string[]> {
    const settingsPath = options.settings ?? process.env["BALSAMWARD_SETTINGS"] ?? DEFAULT_SETTINGS_FILE;
    const settingsText = fromThrowable(() => readFileSync(settingsPath, "utf8"))();
    if (settingsText.isErr()) {
        return err([
            `Cannot read the settings file '${settingsPath}'. Pass a readable file with '--settings FILE'.`,
        ]);
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
 * Returns the exit code for a daemon's response.
 *
 * @param response - The response.
 * @returns The exit code; a refusal because of bad input is `BadInput`, any other refusal `Refused`.
 *
 * @example
 * getExitCode(response); // ExitCode.Success
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
            message: `Cannot reach a daemon at ${address}. Check the address and that the daemon is running.`,
        }
        : {
            outcome: "unknown",
            reason: "answer-lost",
            message: `No valid response arrived from ${address} (${
                String(error)
            }). Check whether the request took effect before retrying.`,
        };
}
