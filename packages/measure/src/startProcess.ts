import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { join } from "node:path";

/** A running child process. */
export type StartedProcess = {
    readonly name: string;
    readonly child: ChildProcess;
    /** First line of standard output; rejects if the process exits before it prints one. */
    readonly firstOutputLine: Promise<string>;
    /** Resolves with the exit code, or `null` if a signal ended the process. */
    readonly exited: Promise<number | null>;
    /** Sends SIGTERM and waits until the process has exited. */
    readonly stop: () => Promise<void>;
};

/**
 * Starts a Node.js program as a child process and appends its output to a log file.
 *
 * @param name - The name of the process; the log file is `<name>.log`.
 * @param args - The path of the program, followed by its arguments.
 * @param folder - The folder for the log file.
 * @returns The process.
 */
export function startProcess(name: string, args: readonly string[], folder: string): StartedProcess {
    const log = createWriteStream(join(folder, `${name}.log`), { flags: "a" });
    const child = spawn(process.execPath, args, { stdio: ["ignore", "pipe", "pipe"] });
    child.stdout.pipe(log, { end: false });
    child.stderr.pipe(log, { end: false });
    const firstOutputLine = new Promise<string>((resolve, reject) => {
        let text = "";
        child.stdout.on("data", (chunk: Buffer) => {
            text += chunk.toString("utf8");
            if (text.includes("\n")) {
                resolve(text.slice(0, text.indexOf("\n")));
            }
        });
        child.once(
            "exit",
            code =>
                reject(
                    new Error(`The process '${name}' exited with code ${code}. See its log in ${folder}.`),
                ),
        );
    });
    firstOutputLine.catch(() => undefined);
    const exited = new Promise<number | null>(resolve => child.once("exit", code => resolve(code)));
    const stop = async () => {
        child.kill("SIGTERM");
        await exited;
    };
    return { name, child, firstOutputLine, exited, stop };
}
