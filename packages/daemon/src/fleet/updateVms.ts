import type { DataCentreId, EndpointId } from "@balsamward/schema";
import type { Vm } from "../_lib/Vm.js";
import type { DaemonState } from "../DaemonState.js";

/**
 * Makes a daemon use a new VM list: its endpoints, and as many concurrent requests as they can run.
 *
 * @param state - The daemon's state.
 * @param vms - The VMs that the platform lists.
 *
 * @example
 * updateVms(state, vms);
 */
export function updateVms(state: DaemonState, vms: readonly Vm[]): void {
    state.vms = vms;
    state.endpointPool.update(
        vms.filter(vm => vm.role === "endpoint").map(vm => ({
            id: vm.id as EndpointId,
            address: vm.address,
            dataCentre: vm.dataCentre as DataCentreId,
            leaving: vm.state === "leaving",
        })),
    );
    state.requestQueue.concurrency = Math.max(1, state.endpointPool.capacity());
}
