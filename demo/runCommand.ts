import { spawn } from "node:child_process";

/** What a run of the command 'balsamward' printed, and how it ended. */
export type CommandRun = { readonly code: number | null; readonly stdout: string; readonly stderr: string };

/**
 * Runs the command 'balsamward'.
 *
 * @param settingsPath - The settings file.
 * @param args - The arguments.
 * @returns What it printed and its exit code.
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
