import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { EventEmitter, once } from "node:events";

/** One line of a daemon's log. */
export type LogLine = { readonly message: string; readonly [field: string]: unknown };

/** How a process has ended: by itself with a status, or by a signal. */
export type ProcessEnd = { readonly status: number | null; readonly signal: NodeJS.Signals | null };

/** A daemon that runs as a process of its own. */
export type DaemonProcess = {
    readonly child: ChildProcess;
    /** The lines of its log so far. */
    readonly lines: readonly LogLine[];
    /** Waits for a line of the log; fails if the process ends without it. */
    readonly waitForLine: (isWanted: (line: LogLine) => boolean) => Promise<LogLine>;
    /** Returns how the process has ended, or `undefined` while it runs. */
    readonly end: () => ProcessEnd | undefined;
    /** Waits until the process has ended and its log is complete. */
    readonly waitForEnd: () => Promise<ProcessEnd>;
};

/** Options of `startDaemonProcess`. */
export type StartDaemonProcessOptions = {
    /** Environment variables; it gets no others. */
    readonly env?: NodeJS.ProcessEnv;
    /** The output that its log is written to; by default standard output. */
    readonly logOutput?: "stdout" | "stderr";
};

/**
 * Starts a daemon as a process of its own, with the Node.js of this process.
 *
 * @param parameters - Parameters of Node.js: its options, the file to run and the file's parameters.
 * @param options - Its environment, and where its log is.
 * @returns The process, which may not run any of the daemon's code yet.
 */
export function startDaemonProcess(
    parameters: readonly string[],
    { env = {}, logOutput = "stdout" }: StartDaemonProcessOptions = {},
): DaemonProcess {
    const child = spawn(process.execPath, parameters, { env, stdio: ["ignore", "pipe", "pipe"] });
    const lines: LogLine[] = [];
    const changes = new EventEmitter();
    let end: ProcessEnd | undefined;
    let partialLine = "";
    child[logOutput].setEncoding("utf8").on("data", (text: string) => {
        const texts = (partialLine + text).split("\n");
        partialLine = texts.pop()!;
        lines.push(...texts.map(line => JSON.parse(line) as LogLine));
        changes.emit("change");
    });
    child[logOutput === "stdout" ? "stderr" : "stdout"].pipe(process.stderr, { end: false });
    child.once("close", (status, signal) => {
        end = { status, signal };
        changes.emit("change");
    });
    const waitForLine: DaemonProcess["waitForLine"] = async isWanted => {
        while (true) {
            const line = lines.find(isWanted);
            if (line !== undefined) {
                return line;
            }
            if (end !== undefined) {
                throw new Error(`The daemon has ended without the line: ${JSON.stringify({ end, lines })}`);
            }
            await once(changes, "change");
        }
    };
    const waitForEnd: DaemonProcess["waitForEnd"] = async () => {
        while (end === undefined) {
            await once(changes, "change");
        }
        return end;
    };
    return { child, lines, waitForLine, end: () => end, waitForEnd };
}
