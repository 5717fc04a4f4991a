import { pause } from "@balsamward/scheduler/pause";
import { request } from "undici";
import type { Vm } from "../_lib/Vm.js";
import { VM_LIST_POLL_INTERVAL_MS, VM_LIST_TIMEOUT_MS } from "../constants.js";

/**
 * Polls the VM list until the signal aborts.
 *
 * @param address - Base address of the VM list as `http://IP:port`.
 * @param onList - Receives each list; after a failed read, the previous list stays in use.
 * @param onFailure - Receives the error message of each failed read.
 * @param signal - Ends the polling when aborted.
 *
 * @example
 * await pollVmList(address, vms => apply(vms), message => log.warn(message), signal);
 */
export async function pollVmList(
    address: string,
    onList: (vms: readonly Vm[]) => void,
    onFailure: (message: string) => void,
    signal: AbortSignal,
): Promise<void> {
    while (!signal.aborted) {
        try {
            const response = await request(`${address}/v1/vms`, {
                signal: AbortSignal.timeout(VM_LIST_TIMEOUT_MS),
            });
            const { vms } = await response.body.json() as { vms: readonly Vm[] };
            onList(vms);
        }
        catch (error) {
            onFailure(String(error));
        }
        await pause(VM_LIST_POLL_INTERVAL_MS, signal);
    }
}
