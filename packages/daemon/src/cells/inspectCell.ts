import { findShortfalls, measureFragmentation } from "@balsamward/placement";
import type { InspectCellResponse, RackView } from "@balsamward/schema";
import { InspectCellResponseSchema, RackViewSchema } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { CellBook } from "./CellBook.js";

/**
 * Describes what holds a cell, its jobs and its guarantees, for operators.
 *
 * @param book - The book.
 * @returns The description.
 *
 * @example
 * inspectCell(book).fragmentation;
 */
export function inspectCell(book: CellBook): InspectCellResponse {
    return create(InspectCellResponseSchema, {
        cell: book.context.id,
        epoch: BigInt(book.by.epoch),
        racks: viewRacks(book),
        jobs: [...book.jobs.values()],
        fragmentation: measureFragmentation(book.cell).index,
        shortfalls: findShortfalls(book.cell).map(({ unit }) => ({
            customer: unit.customer,
            guarantee: unit.guarantee,
            gangs: 1,
        })),
    });
}

function viewRacks(book: CellBook): RackView[] {
    const holders = findHolders(book);
    const { workers, racks } = book.cell.topology;
    return racks.map(rack =>
        create(RackViewSchema, {
            rack: workers[rack[0]!]!.rack,
            workers: rack.map(index => {
                const worker = workers[index]!;
                return {
                    worker: worker.id,
                    healthy: book.cell.healthy[index]! !== 0,
                    holders: holders.get(worker.id) ?? Array.from({ length: worker.accelerators }, () => ""),
                };
            }),
        })
    );
}

function findHolders(book: CellBook): ReadonlyMap<string, string[]> {
    const holders = new Map(
        book.cell.topology.workers.map(
            worker => [worker.id as string, new Array<string>(worker.accelerators).fill("")],
        ),
    );
    for (const holding of book.cell.holdings.values()) {
        for (const placed of holding.placement) {
            const row = holders.get(placed.worker);
            row?.forEach((holder, index) => {
                row[index] = placed.accelerators >>> index & 1 ? holding.job : holder;
            });
        }
    }
    return holders;
}
