/** Cause of the unclear result of an order that is not answered before its timeout. */
export const UNANSWERED = "unanswered";

/** A fault injected into one order. */
export type OrderFault =
    /** The order is executed, and the caller gets an unclear result. */
    | "lost-answer"
    /** The caller gets an unclear result; the order is executed at `executeDelayedOrders`. */
    | "late"
    /** The order is not executed, and the caller gets an unclear result after its timeout. */
    | "unanswered"
    /** The order is not executed, and the caller gets status 503. */
    | "refused";
