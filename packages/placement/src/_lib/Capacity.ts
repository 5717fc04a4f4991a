/** Accelerators that a search may use: one bit mask per worker, in the order of the cell's workers. */
export type Capacity = Uint16Array;
