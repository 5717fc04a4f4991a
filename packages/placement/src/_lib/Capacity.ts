/** Which accelerators a search may use: for each worker of the cell, by index, a mask. */
export type Capacity = Uint16Array;
