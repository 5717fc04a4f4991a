import polka from "polka";
import type { ListeningServer } from "./_lib/listen.js";
import { readJson } from "./_lib/readBody.js";
import { sendJson } from "./_lib/sendJson.js";
import { serveApp } from "./_lib/serveApp.js";
import type { Vm } from "./Vm.js";

/** Options of `startVmList`. */
export type StartVmListOptions = {
    /** Port to listen on; any free port by default. */
    readonly port?: number;
    /** Time in milliseconds after which readers see a change; 0 by default. */
    readonly lagMs?: number;
};

/** A running fake VM list. */
export type RunningVmList = ListeningServer & {
    /** Replaces the list; readers see the new list after the lag. */
    readonly replace: (vms: readonly Vm[]) => void;
};

/**
 * Starts a fake of the platform's list of live and leaving VMs.
 *
 * @param vms - The initial list, which readers see at once.
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
    let latest = vms;
    let visible = vms;
    const replace = (next: readonly Vm[]) => {
        latest = next;
        setTimeout(() => {
            visible = next;
        }, options.lagMs ?? 0).unref();
    };
    const app = polka();
    app.get("/v1/vms", (req, res) => sendJson(res, 200, { vms: visible }));
    app.post("/control/vms/:id", async (req, res) => {
        const change = await readJson<Partial<Vm>>(req);
        replace(latest.map(vm => vm.id === req.params["id"] ? { ...vm, ...change } : vm));
        sendJson(res, 200, {});
    });
    return { ...await serveApp(app, options.port ?? 0), replace };
}
