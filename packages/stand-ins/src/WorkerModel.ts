import type { Reservation } from "./_lib/Reservation.js";
import { createReport, createReservation, release, releaseIfEnded } from "./_lib/Reservation.js";
import type { CellOwner, CommandResult, ReservationReport, ReservationRequest } from "./WorkerCommand.js";

/** Faults injected into a worker. */
export type WorkerFaults = {
    /** The worker answers no call. */
    dead: boolean;
    /** Every task fails as soon as it starts. */
    failsTasks: boolean;
    /** Duration of a checkpoint in milliseconds. */
    checkpointMs: number;
    /** Fraction of its time to live after which a reservation lapses. */
    leaseShare: number;
};

/** Options of `WorkerModel`. */
export type WorkerModelOptions = {
    /** Time in milliseconds by which the reported usage lags behind the clock. */
    readonly usageLagMs?: number;
};

/**
 * Keeps the reservations and tasks of one fake worker in memory.
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
     * Creates a worker without reservations.
     *
     * @param clock - Returns the time in milliseconds.
     * @param options - The usage lag in milliseconds.
     */
    constructor(private readonly clock: () => number, private readonly options: WorkerModelOptions = {}) {}

    /** Reserves accelerators; a repeated request with the same id returns the existing reservation. */
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
        const reservation = this.reservations.get(request.id)
            ?? createReservation(request, this.clock(), this.expiryOf(request.ttlMs));
        this.reservations.set(request.id, reservation);
        return { kind: "done", report: this.createReport(reservation) };
    }

    /** Starts the task of a reservation for `runMs` milliseconds; has no effect on a task that was started before. */
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

    /** Counts a checkpoint of a task. */
    checkpoint(owner: CellOwner, id: string): CommandResult {
        return this.updateReservation(owner, id, reservation => {
            reservation.checkpoints += 1;
        });
    }

    /** Stops the task of a reservation and releases its accelerators. */
    stop(owner: CellOwner, id: string): CommandResult {
        return this.updateReservation(owner, id, reservation => {
            if (reservation.releasedAt === undefined) {
                release(reservation, "stopped", this.clock());
            }
        });
    }

    /**
     * Renews the reservations of a cell.
     *
     * @param owner - The owner of the cell.
     * @param ttlMs - The new time to live in milliseconds.
     * @returns The reports of the cell's reservations, or `undefined` if the owner's epoch is stale.
     */
    renew(owner: CellOwner, ttlMs: number): readonly ReservationReport[] | undefined {
        this.releaseEndedReservations();
        if (!this.acceptEpoch(owner)) {
            return undefined;
        }
        const cellReservations = [...this.reservations.values()].filter(entry =>
            entry.request.cell === owner.cell
        );
        for (const reservation of cellReservations) {
            reservation.expiresAt = this.expiryOf(ttlMs);
        }
        return cellReservations.map(reservation => this.createReport(reservation));
    }

    /** Drops a reservation whose end the owner has stored; its last report is kept for `listReports`. */
    forget(id: string): void {
        const reservation = this.reservations.get(id);
        if (reservation !== undefined) {
            this.forgottenReports.push(this.createReport(reservation));
            this.reservations.delete(id);
        }
    }

    /** Makes the worker unreachable and fails all its tasks. */
    kill(): void {
        this.faults.dead = true;
        for (const reservation of this.reservations.values()) {
            if (reservation.releasedAt === undefined) {
                release(reservation, "failed", this.clock());
            }
        }
    }

    /** Returns the reports of all reservations, including forgotten ones. */
    listReports(): readonly ReservationReport[] {
        this.releaseEndedReservations();
        return [
            ...this.forgottenReports,
            ...[...this.reservations.values()].map(entry => this.createReport(entry)),
        ];
    }

    /** Records the owner's epoch; returns false if a higher epoch of the same cell is known. */
    private acceptEpoch(owner: CellOwner): boolean {
        if (owner.epoch < (this.highestEpochs.get(owner.cell) ?? 0)) {
            return false;
        }
        this.highestEpochs.set(owner.cell, owner.epoch);
        return true;
    }

    /** Releases the reservations whose task has finished or whose time to live has passed. */
    private releaseEndedReservations(): void {
        for (const reservation of this.reservations.values()) {
            releaseIfEnded(reservation, this.clock());
        }
    }

    /** Applies an update to a reservation, unless the owner's epoch is stale or there is no such reservation. */
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
        return createReport(reservation, this.clock() - (this.options.usageLagMs ?? 0));
    }

    /** Returns the time at which a time to live that starts now ends, in milliseconds. */
    private expiryOf(ttlMs: number): number {
        return this.clock() + ttlMs * this.faults.leaseShare;
    }
}
