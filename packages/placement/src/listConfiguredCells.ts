import type { CellId, DataCentreId, Document, WorkerId } from "@balsamward/schema";
import type { CellWorker } from "./CellWorker.js";

/** A cell as configured in the document. */
export type ConfiguredCell = {
    readonly id: CellId;
    readonly dataCentre: DataCentreId;
    readonly workers: readonly CellWorker[];
};

/**
 * Lists the cells of the fleet that a document configures.
 *
 * A cell is a range of consecutive racks of one data centre, so that the cell of a rack does not
 * change when racks are appended.
 *
 * @param document - The document.
 * @returns The cells, ordered by data centre and rack.
 *
 * @example
 * listConfiguredCells(document).map(cell => cell.id); // ["recife-c0", "fortaleza-c0"]
 */
export function listConfiguredCells(document: Document): readonly ConfiguredCell[] {
    const cells: ConfiguredCell[] = [];
    for (const [dataCentre, entry] of Object.entries(document.dataCentre)) {
        const workersPerCell = entry.workersPerRack * entry.racksPerCell;
        for (let firstWorker = 0; firstWorker < entry.workers; firstWorker += workersPerCell) {
            const count = Math.min(workersPerCell, entry.workers - firstWorker);
            const workers = Array.from({ length: count }, (_, offset): CellWorker => ({
                id: `${dataCentre}-w${firstWorker + offset}` as WorkerId,
                rack: Math.floor((firstWorker + offset) / entry.workersPerRack),
                accelerators: entry.acceleratorsPerWorker,
            }));
            const id = cellOfRack(dataCentre as DataCentreId, workers[0]!.rack, entry.racksPerCell);
            cells.push({ id, dataCentre: dataCentre as DataCentreId, workers });
        }
    }
    return cells;
}

/**
 * Returns the id of the cell that contains a rack.
 *
 * @param dataCentre - The rack's data centre.
 * @param rack - Zero-based index of the rack within the data centre.
 * @param racksPerCell - Number of racks per cell in the data centre.
 * @returns The cell's id.
 *
 * @example
 * cellOfRack(dataCentre, 9, 8); // "recife-c1"
 */
export function cellOfRack(dataCentre: DataCentreId, rack: number, racksPerCell: number): CellId {
    return `${dataCentre}-c${Math.floor(rack / racksPerCell)}` as CellId;
}
