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
export type Commander = { readonly cell: string; readonly epoch: number; };

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
    | { readonly kind: "done"; readonly report: ReservationReport; }
    | { readonly kind: "refused"; readonly reason: "stale-epoch" | "accelerators-held" | "no-reservation"; };

/** One worker in memory. */
export type WorkerModel = ReturnType<typeof createWorkerModel>;

type Reservation = {
    readonly request: ReservationRequest;
    readonly grantedAt: number;
    state: ReservationState;
    expiresAt: number;
    finishesAt: number;
    releasedAt: number | undefined;
    checkpoints: number;
};

/** Options of `createWorkerModel`. */
export type CreateWorkerModelOptions = {
    /** Time in milliseconds by which reported usage is behind. */
    readonly usageLagMs?: number;
};

/**
 * Creates a worker that holds nothing.
 *
 * @param clock - Returns the time in milliseconds.
 * @param options - The usage lag.
 * @returns The worker's operations and its fault switches.
 *
 * @example
 * const worker = createWorkerModel(() => Date.now());
 */
export function createWorkerModel(clock: () => number, options: CreateWorkerModelOptions = {}) {
    const reservations = new Map<string, Reservation>();
    const epochs = new Map<string, number>();
    const faults: WorkerFaults = { dead: false, failsTasks: false, checkpointMs: 50, leaseShare: 1 };
    const starts: string[] = [];

    function admits(commander: Commander): boolean {
        const highest = epochs.get(commander.cell) ?? 0;
        if (commander.epoch < highest) {
            return false;
        }
        epochs.set(commander.cell, commander.epoch);
        return true;
    }

    function settle(): void {
        for (const reservation of reservations.values()) {
            if (reservation.releasedAt !== undefined) {
                continue;
            }
            if (reservation.state === "running" && reservation.finishesAt <= clock()) {
                release(reservation, "finished", reservation.finishesAt);
            }
            else if (reservation.expiresAt <= clock()) {
                release(reservation, "lapsed", reservation.expiresAt);
            }
        }
    }

    function release(reservation: Reservation, state: ReservationState, at: number): void {
        reservation.state = state;
        reservation.releasedAt = at;
    }

    function report(reservation: Reservation): ReservationReport {
        const { request, state, grantedAt, releasedAt, checkpoints } = reservation;
        const until = releasedAt ?? Math.max(grantedAt, clock() - (options.usageLagMs ?? 0));
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

    function command(commander: Commander, id: string, act: (reservation: Reservation) => void): CommandResult {
        settle();
        if (!admits(commander)) {
            return { kind: "refused", reason: "stale-epoch" };
        }
        const reservation = reservations.get(id);
        if (reservation === undefined) {
            return { kind: "refused", reason: "no-reservation" };
        }
        act(reservation);
        settle();
        return { kind: "done", report: report(reservation) };
    }

    return {
        faults,
        starts,
        reserve(request: ReservationRequest): CommandResult {
            settle();
            if (!admits(request)) {
                return { kind: "refused", reason: "stale-epoch" };
            }
            const held = [...reservations.values()].some(other =>
                other.releasedAt === undefined
                && other.request.id !== request.id
                && (other.request.accelerators & request.accelerators) !== 0
            );
            if (held) {
                return { kind: "refused", reason: "accelerators-held" };
            }
            const reservation = reservations.get(request.id) ?? {
                request,
                grantedAt: clock(),
                state: "reserved",
                expiresAt: clock() + request.ttlMs * faults.leaseShare,
                finishesAt: Number.POSITIVE_INFINITY,
                releasedAt: undefined,
                checkpoints: 0,
            };
            reservations.set(request.id, reservation);
            return { kind: "done", report: report(reservation) };
        },
        start(commander: Commander, id: string, runMs: number): CommandResult {
            return command(commander, id, reservation => {
                if (reservation.state !== "reserved") {
                    return;
                }
                starts.push(id);
                reservation.state = "running";
                reservation.finishesAt = clock() + runMs;
                if (faults.failsTasks) {
                    release(reservation, "failed", clock());
                }
            });
        },
        checkpoint(commander: Commander, id: string): CommandResult {
            return command(commander, id, reservation => {
                reservation.checkpoints += 1;
            });
        },
        stop(commander: Commander, id: string): CommandResult {
            return command(commander, id, reservation => {
                if (reservation.releasedAt === undefined) {
                    release(reservation, "stopped", clock());
                }
            });
        },
        renew(commander: Commander, ttlMs: number): readonly ReservationReport[] | undefined {
            settle();
            if (!admits(commander)) {
                return undefined;
            }
            const own = [...reservations.values()].filter(reservation => reservation.request.cell === commander.cell);
            for (const reservation of own) {
                reservation.expiresAt = clock() + ttlMs * faults.leaseShare;
            }
            return own.map(report);
        },
        forget(id: string): void {
            reservations.delete(id);
        },
        kill(): void {
            faults.dead = true;
            for (const reservation of reservations.values()) {
                if (reservation.releasedAt === undefined) {
                    release(reservation, "failed", clock());
                }
            }
        },
        running(): readonly string[] {
            settle();
            return [...reservations.values()].filter(entry => entry.state === "running").map(entry => entry.request.job);
        },
        reports(): readonly ReservationReport[] {
            settle();
            return [...reservations.values()].map(report);
        },
    };
}

function countBits(mask: number): number {
    return mask.toString(2).replaceAll("0", "").length;
}
