import { findShortfalls, measureFragmentation } from "@balsamward/placement";
import type { InspectCellResponse, RackView } from "@balsamward/schema";
import { InspectCellResponseSchema, RackViewSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { CellRuntime } from "./CellRuntime.js";

/**
 * Describes the accelerators of a cell with their holders, its jobs and its guarantee shortfalls, for operators.
 *
 * @param runtime - The cell's runtime.
 * @returns The description.
 *
 * @example
 * inspectCell(runtime).fragmentation;
 */
export function inspectCell(runtime: CellRuntime): InspectCellResponse {
    return create(InspectCellResponseSchema, {
        cell: runtime.context.id,
        epoch: BigInt(runtime.owner.epoch),
        racks: describeRacks(runtime),
        jobs: [...runtime.jobs.values()],
        fragmentation: measureFragmentation(runtime.cell).index,
        shortfalls: findShortfalls(runtime.cell).map(({ gang }) => ({
            customer: gang.customer,
            guarantee: gang.guarantee,
            gangs: 1,
        })),
    });
}

function describeRacks(runtime: CellRuntime): RackView[] {
    const holders = listHoldersByWorker(runtime);
    const { workers, racks } = runtime.cell.topology;
    return racks.map(rack =>
        create(RackViewSchema, {
            rack: workers[rack[0]!]!.rack,
            workers: rack.map(index => {
                const worker = workers[index]!;
                return {
                    worker: worker.id,
                    healthy: runtime.cell.healthyAccelerators[index]! !== 0,
                    holders: holders.get(worker.id) ?? Array.from({ length: worker.accelerators }, () => ""),
                };
            }),
        })
    );
}

function listHoldersByWorker(runtime: CellRuntime): ReadonlyMap<string, string[]> {
    const holders = new Map(
        runtime.cell.topology.workers.map(
            worker => [worker.id as string, new Array<string>(worker.accelerators).fill("")],
        ),
    );
    for (const allocation of runtime.cell.allocations.values()) {
        for (const placed of allocation.placement) {
            const workerHolders = holders.get(placed.worker);
            workerHolders?.forEach((holder, index) => {
                workerHolders[index] = placed.accelerators >>> index & 1 ? allocation.job : holder;
            });
        }
    }
    return holders;
}
