import type { CustomerId, GuaranteeId } from "@balsamward/schema";
import type { GangShape } from "./GangShape.js";

/** One gang that a customer can always reclaim. */
export type GuaranteedGang = {
    readonly customer: CustomerId;
    readonly guarantee: GuaranteeId;
    /** Number of the gang within its guarantee, from 0. */
    readonly index: number;
    readonly shape: GangShape;
};
