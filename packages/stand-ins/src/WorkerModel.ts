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
export type Commander = { readonly cell: string; readonly epoch: number };

/** A request for accelerators. */
export type ReservationRequest = Commander & {
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
    private readonly epochs = new Map<string, number>();
    private readonly forgotten: ReservationReport[] = [];

    /**
     * Creates a worker that holds nothing.
     *
     * @param clock - Returns the time in milliseconds.
     * @param options - The usage lag.
     */
    constructor(private readonly clock: () => number, private readonly options: WorkerModelOptions = {}) {}

    /** Reserves accelerators; a repeat returns the first reservation. */
    reserve(request: ReservationRequest): CommandResult {
        this.settle();
        if (!this.admits(request)) {
            return { kind: "refused", reason: "stale-epoch" };
        }
        const held = [...this.reservations.values()].some(other =>
            other.releasedAt === undefined
            && other.request.id !== request.id
            && (other.request.accelerators & request.accelerators) !== 0
        );
        if (held) {
            return { kind: "refused", reason: "accelerators-held" };
        }
        const reservation = this.reservations.get(request.id) ?? this.open(request);
        this.reservations.set(request.id, reservation);
        return { kind: "done", report: this.report(reservation) };
    }

    /** Starts the task of a reservation; a started one stays as it is. */
    start(commander: Commander, id: string, runMs: number): CommandResult {
        return this.command(commander, id, reservation => {
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
    checkpoint(commander: Commander, id: string): CommandResult {
        return this.command(commander, id, reservation => {
            reservation.checkpoints += 1;
        });
    }

    /** Stops a task and releases its accelerators. */
    stop(commander: Commander, id: string): CommandResult {
        return this.command(commander, id, reservation => {
            if (reservation.releasedAt === undefined) {
                release(reservation, "stopped", this.clock());
            }
        });
    }

    /** Renews the reservations of a cell; `undefined` for a commander with a stale epoch. */
    renew(commander: Commander, ttlMs: number): readonly ReservationReport[] | undefined {
        this.settle();
        if (!this.admits(commander)) {
            return undefined;
        }
        const own = [...this.reservations.values()].filter(entry => entry.request.cell === commander.cell);
        for (const reservation of own) {
            reservation.expiresAt = this.clock() + ttlMs * this.faults.leaseShare;
        }
        return own.map(reservation => this.report(reservation));
    }

    /** Drops a reservation whose end is durable elsewhere. */
    forget(id: string): void {
        const reservation = this.reservations.get(id);
        if (reservation !== undefined) {
            this.forgotten.push(this.report(reservation));
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
    reports(): readonly ReservationReport[] {
        this.settle();
        return [...this.forgotten, ...[...this.reservations.values()].map(entry => this.report(entry))];
    }

    private open(request: ReservationRequest): Reservation {
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

    private admits(commander: Commander): boolean {
        if (commander.epoch < (this.epochs.get(commander.cell) ?? 0)) {
            return false;
        }
        this.epochs.set(commander.cell, commander.epoch);
        return true;
    }

    /** Ends the tasks that have finished and the reservations that have lapsed. */
    private settle(): void {
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

    private command(
        commander: Commander,
        id: string,
        act: (reservation: Reservation) => void,
    ): CommandResult {
        this.settle();
        if (!this.admits(commander)) {
            return { kind: "refused", reason: "stale-epoch" };
        }
        const reservation = this.reservations.get(id);
        if (reservation === undefined) {
            return { kind: "refused", reason: "no-reservation" };
        }
        act(reservation);
        this.settle();
        return { kind: "done", report: this.report(reservation) };
    }

    private report(reservation: Reservation): ReservationReport {
        const { request, state, grantedAt, releasedAt, checkpoints } = reservation;
        const until = releasedAt ?? Math.max(grantedAt, this.clock() - (this.options.usageLagMs ?? 0));
        return {
            id: request.id,
            job: request.job,
            customer: request.customer,
            state,
            accelerators: request.accelerators,
            heldMs: Math.round((until - grantedAt) * countBits(request.accelerators)),
            checkpoints,
        };
    }
}

function release(reservation: Reservation, state: ReservationState, at: number): void {
    reservation.state = state;
    reservation.releasedAt = at;
}

function countBits(mask: number): number {
    return mask.toString(2).replaceAll("0", "").length;
}
