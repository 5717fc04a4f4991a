import { pause } from "@balsamward/scheduler/pause";
import { request } from "undici";
import type { Vm } from "../_lib/Vm.js";
import { VM_LIST_POLL_INTERVAL_MS, VM_LIST_TIMEOUT_MS } from "../constants.js";

/**
 * Reads the VM list at intervals until the signal aborts.
 *
 * @param address - Base address of the list as `http://IP:port`.
 * @param onList - Receives each list; a failed read leaves the last one in force.
 * @param onFailure - Receives the message of each failed read.
 * @param signal - Ends the reading.
 *
 * @example
 * await runVmList(address, vms => apply(vms), message => log.warn(message), signal);
 */
export async function runVmList(
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
