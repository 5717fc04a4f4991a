import type { ChildProcess } from "node:child_process";
import { spawn } from "node:child_process";
import { createWriteStream } from "node:fs";
import { join } from "node:path";

/** A started process. */
export type StartedProcess = {
    readonly name: string;
    readonly child: ChildProcess;
    /** First line that the process printed. */
    readonly firstOutputLine: Promise<string>;
    readonly exited: Promise<number | null>;
    /** Asks the process to stop, and waits until it has. */
    readonly stop: () => Promise<void>;
};

/**
 * Starts a Node.js program as a process of its own, its output kept in a file.
 *
 * @param name - Name of the process and of its log.
 * @param args - The program and its arguments.
 * @param folder - Folder for the log.
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
            code => reject(new Error(`'${name}' ended with ${code}; its log is in ${folder}.`)),
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
