/** State of a reservation at a worker. */
export type ReservationState = "reserved" | "running" | "finished" | "failed" | "stopped" | "lapsed";

/** What a worker reports of one reservation. */
export type ReservationReport = {
    readonly id: string;
    readonly job: string;
    readonly customer: string;
    readonly state: ReservationState;
    readonly accelerators: number;
    /** Accelerator-milliseconds held from grant to release; cumulative, and behind by the usage lag. */
    readonly heldMs: number;
    readonly checkpoints: number;
};

/** Faults of a worker that are switched on. */
export type WorkerFaults = {
    /** The worker answers nothing, and its tasks are gone. */
    dead: boolean;
    /** Every task that starts fails at once. */
    failsTasks: boolean;
    /** Time in milliseconds that a checkpoint takes. */
    checkpointMs: number;
    /** Reservations lapse after this share of their time to live. */
    leaseShare: number;
};

/** Who commands a worker: the owner of a cell with its fencing epoch. */
export type CellOwner = { readonly cell: string; readonly epoch: number };

/** A request for accelerators. */
export type ReservationRequest = CellOwner & {
    readonly id: string;
    readonly job: string;
    readonly customer: string;
    readonly accelerators: number;
    readonly ttlMs: number;
};

/** Result of a command to a worker. */
export type CommandResult =
    | { readonly kind: "done"; readonly report: ReservationReport }
    | { readonly kind: "refused"; readonly reason: "stale-epoch" | "accelerators-held" | "no-reservation" };

type Reservation = {
    readonly request: ReservationRequest;
    readonly grantedAt: number;
    state: ReservationState;
    expiresAt: number;
    finishesAt: number;
    releasedAt: number | undefined;
    checkpoints: number;
};

/** Options of a worker. */
export type WorkerModelOptions = {
    /** Time in milliseconds by which reported usage is behind. */
    readonly usageLagMs?: number;
};

/**
 * One worker in memory.
 *
 * @example
 * const worker = new WorkerModel(() => Date.now());
 */
export class WorkerModel {
    readonly faults: WorkerFaults = { dead: false, failsTasks: false, checkpointMs: 50, leaseShare: 1 };
    private readonly reservations = new Map<string, Reservation>();
    private readonly highestEpochs = new Map<string, number>();
    private readonly forgottenReports: ReservationReport[] = [];

    /**
     * Creates a worker that holds nothing.
     *
     * @param clock - Returns the time in milliseconds.
     * @param options - The usage lag.
     */
    constructor(private readonly clock: () => number, private readonly options: WorkerModelOptions = {}) {}

    /** Reserves accelerators; a repeat returns the first reservation. */
    reserve(request: ReservationRequest): CommandResult {
        this.releaseEndedReservations();
        if (!this.acceptEpoch(request)) {
            return { kind: "refused", reason: "stale-epoch" };
        }
        const acceleratorsHeld = [...this.reservations.values()].some(other =>
            other.releasedAt === undefined
            && other.request.id !== request.id
            && (other.request.accelerators & request.accelerators) !== 0
        );
        if (acceleratorsHeld) {
            return { kind: "refused", reason: "accelerators-held" };
        }
        const reservation = this.reservations.get(request.id) ?? this.createReservation(request);
        this.reservations.set(request.id, reservation);
        return { kind: "done", report: this.createReport(reservation) };
    }

    /** Starts the task of a reservation; a started one stays as it is. */
    start(owner: CellOwner, id: string, runMs: number): CommandResult {
        return this.updateReservation(owner, id, reservation => {
            if (reservation.state !== "reserved") {
                return;
            }
            reservation.state = "running";
            reservation.finishesAt = this.clock() + runMs;
            if (this.faults.failsTasks) {
                release(reservation, "failed", this.clock());
            }
        });
    }

    /** Records that a task wrote a checkpoint. */
    checkpoint(owner: CellOwner, id: string): CommandResult {
        return this.updateReservation(owner, id, reservation => {
            reservation.checkpoints += 1;
        });
    }

    /** Stops a task and releases its accelerators. */
    stop(owner: CellOwner, id: string): CommandResult {
        return this.updateReservation(owner, id, reservation => {
            if (reservation.releasedAt === undefined) {
                release(reservation, "stopped", this.clock());
            }
        });
    }

    /** Renews the reservations of a cell; `undefined` for a commander with a stale epoch. */
    renew(owner: CellOwner, ttlMs: number): readonly ReservationReport[] | undefined {
        this.releaseEndedReservations();
        if (!this.acceptEpoch(owner)) {
            return undefined;
        }
        const cellReservations = [...this.reservations.values()].filter(entry =>
            entry.request.cell === owner.cell
        );
        for (const reservation of cellReservations) {
            reservation.expiresAt = this.clock() + ttlMs * this.faults.leaseShare;
        }
        return cellReservations.map(reservation => this.createReport(reservation));
    }

    /** Drops a reservation whose end is durable elsewhere. */
    forget(id: string): void {
        const reservation = this.reservations.get(id);
        if (reservation !== undefined) {
            this.forgottenReports.push(this.createReport(reservation));
            this.reservations.delete(id);
        }
    }

    /** Makes the worker dead, with all its tasks. */
    kill(): void {
        this.faults.dead = true;
        for (const reservation of this.reservations.values()) {
            if (reservation.releasedAt === undefined) {
                release(reservation, "failed", this.clock());
            }
        }
    }

    /** Returns the reports of all reservations, forgotten ones included. */
    listReports(): readonly ReservationReport[] {
        this.releaseEndedReservations();
        return [
            ...this.forgottenReports,
            ...[...this.reservations.values()].map(entry => this.createReport(entry)),
        ];
    }

    private createReservation(request: ReservationRequest): Reservation {
        return {
            request,
            grantedAt: this.clock(),
            state: "reserved",
            expiresAt: this.clock() + request.ttlMs * this.faults.leaseShare,
            finishesAt: Number.POSITIVE_INFINITY,
            releasedAt: undefined,
            checkpoints: 0,
        };
    }

    private acceptEpoch(owner: CellOwner): boolean {
        if (owner.epoch < (this.highestEpochs.get(owner.cell) ?? 0)) {
            return false;
        }
        this.highestEpochs.set(owner.cell, owner.epoch);
        return true;
    }

    /** Ends the tasks that have finished and the reservations that have lapsed. */
    private releaseEndedReservations(): void {
        for (const reservation of this.reservations.values()) {
            if (reservation.releasedAt !== undefined) {
                continue;
            }
            if (reservation.state === "running" && reservation.finishesAt <= this.clock()) {
                release(reservation, "finished", reservation.finishesAt);
            }
            else if (reservation.expiresAt <= this.clock()) {
                release(reservation, "lapsed", reservation.expiresAt);
            }
        }
    }

    private updateReservation(
        owner: CellOwner,
        id: string,
        update: (reservation: Reservation) => void,
    ): CommandResult {
        this.releaseEndedReservations();
        if (!this.acceptEpoch(owner)) {
            return { kind: "refused", reason: "stale-epoch" };
        }
        const reservation = this.reservations.get(id);
        if (reservation === undefined) {
            return { kind: "refused", reason: "no-reservation" };
        }
        update(reservation);
        this.releaseEndedReservations();
        return { kind: "done", report: this.createReport(reservation) };
    }

    private createReport(reservation: Reservation): ReservationReport {
        const { request, state, grantedAt, releasedAt, checkpoints } = reservation;
        const heldUntil = releasedAt ?? Math.max(grantedAt, this.clock() - (this.options.usageLagMs ?? 0));
        return {
            id: request.id,
            job: request.job,
            customer: request.customer,
            state,
            accelerators: request.accelerators,
            heldMs: Math.round((heldUntil - grantedAt) * countBits(request.accelerators)),
            checkpoints,
        };
    }
}

function release(reservation: Reservation, state: ReservationState, releasedAt: number): void {
    reservation.state = state;
    reservation.releasedAt = releasedAt;
}

function countBits(mask: number): number {
    return mask.toString(2).replaceAll("0", "").length;
}
