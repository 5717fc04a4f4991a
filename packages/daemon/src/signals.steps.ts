import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { once } from "node:events";
import { mkdtempSync, rmSync } from "node:fs";
import type { FileHandle } from "node:fs/promises";
import { createServer } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { createNamedPipe } from "../../../features/support/createNamedPipe.js";
import { findFreeAddress } from "../../../features/support/findFreeAddress.js";
import type { DaemonProcess } from "../../../features/support/startDaemonProcess.js";
import { startDaemonProcess } from "../../../features/support/startDaemonProcess.js";
import type { TestWorld } from "../../../features/support/TestWorld.js";

const PROGRAM_PATH = "packages/daemon/bin/balsamwardd.js";

/** Digest of a token that no test uses. */
const TOKEN_SHA256 = "0".repeat(64);

Given("another process listens on the callers' address of a daemon", async function(this: TestWorld) {
    const holder = createServer().listen(0, "127.0.0.1");
    await once(holder, "listening");
    const { port } = holder.address() as { readonly port: number };
    this.notes.set("callersAddress", `127.0.0.1:${port}`);
    this.cleanups.push(() => void holder.close());
});

Given("a daemon process that waits for the rest of its settings", async function(this: TestWorld) {
    const folder = mkdtempSync(join(tmpdir(), "balsamward-daemon-"));
    const path = join(folder, "settings.ini");
    const pipe = createNamedPipe(path);
    const daemon = startDaemonProcess([PROGRAM_PATH, "--settings", path], { logOutput: "stderr" });
    this.notes.set("daemonProcess", daemon);
    this.cleanups.push(async () => {
        daemon.child.kill("SIGKILL");
        await daemon.waitForEnd();
        rmSync(folder, { recursive: true });
    });
    const settingsPipe = await pipe.openForReader(() => daemon.end() !== undefined);
    await settingsPipe.write("[node]\n");
    this.notes.set("settingsPipe", settingsPipe);
});

When("the daemon process receives {word}", function(this: TestWorld, signal: NodeJS.Signals) {
    this.note<DaemonProcess>("daemonProcess").child.kill(signal);
});

When("the rest of the daemon's settings arrives", async function(this: TestWorld) {
    const settingsPipe = this.note<FileHandle>("settingsPipe");
    const callers = this.note<string | undefined>("callersAddress") ?? await findFreeAddress();
    await settingsPipe.write([
        "id = here",
        "data_centre = dc",
        "environment = production",
        "[listeners]",
        `callers = ${callers}`,
        `peers = ${await findFreeAddress()}`,
        `operations = ${await findFreeAddress()}`,
        "[platform]",
        `store = http://${await findFreeAddress()}`,
        `vm_list = http://${await findFreeAddress()}`,
        "[operators]",
        `token_sha256 = ${TOKEN_SHA256}`,
        "[log]",
        "level = info",
        "format = json",
        "",
    ].join("\n"));
    await settingsPipe.close();
});

Then("the daemon process logs {string}", async function(this: TestWorld, message: string) {
    await this.note<DaemonProcess>("daemonProcess").waitForLine(line => line.message === message);
});

Then(
    "the daemon process has logged the signal {word} at the stage {string}",
    function(this: TestWorld, signal: string, stage: string) {
        const { lines } = this.note<DaemonProcess>("daemonProcess");
        const signalLines = lines.filter(({ message }) => message === "A signal is received.");
        assert.deepEqual(signalLines.map(line => [line["signal"], line["stage"]]), [[signal, stage]]);
    },
);

Then(
    "the daemon process ends with status {int} and the line {string}",
    async function(this: TestWorld, status: number, message: string) {
        const daemon = this.note<DaemonProcess>("daemonProcess");
        assert.deepEqual(await daemon.waitForEnd(), { status, signal: null });
        assert.equal(daemon.lines.at(-1)?.message, message);
    },
);
