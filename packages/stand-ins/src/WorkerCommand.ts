/** State of a reservation on a worker; `lapsed` if its time to live has passed without a renewal. */
export type ReservationState = "reserved" | "running" | "finished" | "failed" | "stopped" | "lapsed";

/** A worker's report on one reservation. */
export type ReservationReport = {
    readonly id: string;
    readonly job: string;
    readonly customer: string;
    readonly state: ReservationState;
    /** Bit mask of the reserved accelerators. */
    readonly accelerators: number;
    /**
     * Accelerator-milliseconds held from grant to release. The figure is cumulative; until the release it
     * lags behind the clock by the usage lag.
     */
    readonly heldMs: number;
    readonly checkpoints: number;
};

/** The owner of a cell that sends a command, identified by the cell and its fencing epoch. */
export type CellOwner = { readonly cell: string; readonly epoch: number };

/** A request to reserve accelerators of one worker. */
export type ReservationRequest = CellOwner & {
    readonly id: string;
    readonly job: string;
    readonly customer: string;
    /** Bit mask of the accelerators. */
    readonly accelerators: number;
    /** Time to live of the reservation in milliseconds. */
    readonly ttlMs: number;
};

/** Result of a command to a worker. */
export type CommandResult =
    | { readonly kind: "done"; readonly report: ReservationReport }
    | { readonly kind: "refused"; readonly reason: "stale-epoch" | "accelerators-held" | "no-reservation" };
