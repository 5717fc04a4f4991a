import { spawn } from "node:child_process";

/** Output and exit code of a run of 'balsamward'; the code is `null` if a signal ended the run. */
export type CommandRun = { readonly code: number | null; readonly stdout: string; readonly stderr: string };

/**
 * Runs the command 'balsamward' as a child process and waits until it ends.
 *
 * @param settingsPath - The path of the settings file.
 * @param args - The arguments after '--settings'.
 * @returns The output and the exit code.
 */
export async function runCommand(settingsPath: string, args: readonly string[]): Promise<CommandRun> {
    const child = spawn(process.execPath, [
        "packages/command-line/bin/balsamward.js",
        "--settings",
        settingsPath,
        ...args,
    ]);
    let stdout = "";
    let stderr = "";
    child.stdout.on("data", (chunk: Buffer) => {
        stdout += chunk.toString("utf8");
    });
    child.stderr.on("data", (chunk: Buffer) => {
        stderr += chunk.toString("utf8");
    });
    const code = await new Promise<number | null>(resolve => child.once("close", resolve));
    return { code, stdout, stderr };
}
