import type { CommandSettings, InputError } from "@balsamward/schema";
import { CommandSettingsSchema, decodeIni } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, fromThrowable, ok } from "neverthrow";
import { readFileSync } from "node:fs";
import { request } from "undici";
import { CALL_TIMEOUT_MS, DEFAULT_SETTINGS } from "./constants.js";
import { ExitCode } from "./ExitCode.js";

/** Options that every command has. */
export type GlobalOptions = {
    readonly settings?: string;
    readonly json?: boolean;
};

/** An answer of a daemon. */
export type Answer = {
    readonly outcome: "completed" | "refused" | "failed" | "unknown";
    readonly reason: string;
    readonly message?: string;
    readonly [field: string]: unknown;
};

/** A call to a daemon. */
export type Call = {
    readonly method: "GET" | "POST" | "DELETE";
    readonly path: string;
    readonly body?: object;
    readonly headers?: Readonly<Record<string, string>>;
};

/** What commands work with. */
export type Context = {
    readonly json: boolean;
    /** Calls the callers' listener with the customer's token. */
    readonly callCallers: (call: Call) => Promise<Answer>;
    /** Calls the operators' interface with the operator's token. */
    readonly callOperations: (call: Call) => Promise<Answer>;
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
export function createContext(options: GlobalOptions): Result<Context, readonly string[]> {
    const path = options.settings ?? process.env["BALSAMWARD_SETTINGS"] ?? DEFAULT_SETTINGS;
    const text = fromThrowable(() => readFileSync(path, "utf8"))();
    if (text.isErr()) {
        return err([`The settings file '${path}' cannot be read. Name one with '--settings FILE'.`]);
    }
    const decoded: Result<CommandSettings, readonly InputError[]> = decodeIni(
        CommandSettingsSchema,
        text.value,
    );
    if (decoded.isErr()) {
        return err(decoded.error.map(error => `${path}: ${error.message}`));
    }
    const { daemon, tokens } = decoded.value;
    return ok({
        json: options.json ?? false,
        callCallers: call => callDaemon(daemon!.callers, tokens!.customer, call),
        callOperations: call => callDaemon(daemon!.operations, tokens!.operator, call),
    });
}

/**
 * Returns the exit code for an answer.
 *
 * @param answer - The answer of a daemon.
 * @returns The exit code.
 *
 * @example
 * exitCodeOf(answer); // ExitCode.Done
 */
export function exitCodeOf(answer: Answer): ExitCode {
    switch (answer.outcome) {
        case "completed":
            return ExitCode.Done;
        case "failed":
            return ExitCode.Failed;
        case "refused":
            return answer.reason.startsWith("bad-") ? ExitCode.BadInput : ExitCode.Refused;
        case "unknown":
            return ExitCode.Unknown;
        default:
            return answer.outcome satisfies never;
    }
}

async function callDaemon(address: string, token: string, call: Call): Promise<Answer> {
    try {
        const response = await request(`${address}${call.path}`, {
            method: call.method,
            headers: {
                authorization: `Bearer ${token}`,
                "content-type": "application/json",
                ...call.headers,
            },
            body: call.body === undefined ? null : JSON.stringify(call.body),
            signal: AbortSignal.timeout(CALL_TIMEOUT_MS),
        });
        return await response.body.json() as Answer;
    }
    catch (error) {
        return describeFailure(address, call, error);
    }
}

function describeFailure(address: string, call: Call, error: unknown): Answer {
    const refused = (error as { code?: string }).code === "ECONNREFUSED";
    return refused || call.method === "GET"
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
