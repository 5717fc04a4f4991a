import polka from "polka";
import type { Listening } from "./_lib/listen.js";
import { readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import type { Vm } from "./Vm.js";

/** Options of `startVmList`. */
export type StartVmListOptions = {
    readonly port?: number;
    /** Time in milliseconds by which the list is behind. */
    readonly lagMs?: number;
};

/** A running VM list. */
export type RunningVmList = Listening & {
    /** Replaces the list; readers see it after the lag. */
    readonly replace: (vms: readonly Vm[]) => void;
};

/**
 * Starts a stand-in for the platform's list of live and leaving VMs.
 *
 * @param vms - The first list, which readers see at once.
 * @param options - Port and lag.
 * @returns The running list.
 *
 * @example
 * const list = await startVmList(vms, { lagMs: 2_000 });
 */
export async function startVmList(
    vms: readonly Vm[],
    options: StartVmListOptions = {},
): Promise<RunningVmList> {
    let current = vms;
    let seen = vms;
    const replace = (next: readonly Vm[]) => {
        current = next;
        setTimeout(() => {
            seen = next;
        }, options.lagMs ?? 0).unref();
    };
    const app = polka();
    app.get("/v1/vms", (req, res) => sendJson(res, 200, { vms: seen }));
    app.post("/control/vms/:id", async (req, res) => {
        const change = await readJson<Partial<Vm>>(req);
        replace(current.map(vm => vm.id === req.params["id"] ? { ...vm, ...change } : vm));
        sendJson(res, 200, {});
    });
    return { ...await serveApp(app, options.port ?? 0), replace };
}
