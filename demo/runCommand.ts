import { spawn } from "node:child_process";

/** What a run of the command 'balsamward' printed, and how it ended. */
export type CommandRun = { readonly code: number | null; readonly output: string; readonly messages: string };

/**
 * Runs the command 'balsamward'.
 *
 * @param settings - The settings file.
 * @param args - The arguments.
 * @returns What it printed and its exit code.
 */
export async function runCommand(settings: string, args: readonly string[]): Promise<CommandRun> {
    const child = spawn(process.execPath, [
        "packages/command-line/bin/balsamward.js",
        "--settings",
        settings,
        ...args,
    ]);
    let output = "";
    let messages = "";
    child.stdout.on("data", (chunk: Buffer) => {
        output += chunk.toString("utf8");
    });
    child.stderr.on("data", (chunk: Buffer) => {
        messages += chunk.toString("utf8");
    });
    const code = await new Promise<number | null>(resolve => child.once("close", resolve));
    return { code, output, messages };
}
