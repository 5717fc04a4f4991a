import type { ReservationReport, ReservationRequest, ReservationState } from "../WorkerCommand.js";

/** A reservation that a fake worker holds or has held. All times are in milliseconds. */
export type Reservation = {
    readonly request: ReservationRequest;
    readonly grantedAt: number;
    state: ReservationState;
    expiresAt: number;
    finishesAt: number;
    releasedAt: number | undefined;
    checkpoints: number;
};

/**
 * Creates a reservation that is granted now.
 *
 * @param request - The request to reserve.
 * @param now - The time in milliseconds.
 * @param expiresAt - The time in milliseconds at which the reservation lapses without a renewal.
 * @returns The reservation.
 */
export function createReservation(request: ReservationRequest, now: number, expiresAt: number): Reservation {
    return {
        request,
        grantedAt: now,
        state: "reserved",
        expiresAt,
        finishesAt: Number.POSITIVE_INFINITY,
        releasedAt: undefined,
        checkpoints: 0,
    };
}

/**
 * Releases the accelerators of a reservation.
 *
 * @param reservation - The reservation, which is changed.
 * @param state - The state in which the reservation ends.
 * @param releasedAt - The time in milliseconds at which it ended.
 */
export function release(reservation: Reservation, state: ReservationState, releasedAt: number): void {
    reservation.state = state;
    reservation.releasedAt = releasedAt;
}

/**
 * Releases a reservation whose task has finished or whose time to live has passed.
 *
 * @param reservation - The reservation, which is changed if it has ended.
 * @param now - The time in milliseconds.
 */
export function releaseIfEnded(reservation: Reservation, now: number): void {
    if (reservation.releasedAt !== undefined) {
        return;
    }
    if (reservation.state === "running" && reservation.finishesAt <= now) {
        release(reservation, "finished", reservation.finishesAt);
    }
    else if (reservation.expiresAt <= now) {
        release(reservation, "lapsed", reservation.expiresAt);
    }
}

/**
 * Creates a worker's report on a reservation.
 *
 * @param reservation - The reservation.
 * @param measuredUntil - The time in milliseconds up to which the worker has measured usage; only counts until the
 *     reservation is released.
 * @returns The report.
 */
export function createReport(reservation: Reservation, measuredUntil: number): ReservationReport {
    const { request, state, grantedAt, releasedAt, checkpoints } = reservation;
    const heldUntil = releasedAt ?? Math.max(grantedAt, measuredUntil);
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

function countBits(mask: number): number {
    return mask.toString(2).replaceAll("0", "").length;
}
