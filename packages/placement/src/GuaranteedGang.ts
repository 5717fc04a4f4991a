import type { CustomerId, GuaranteeId } from "@balsamward/schema";
import type { GangShape } from "./GangShape.js";

/** One gang for which a customer can reclaim accelerators at any time. */
export type GuaranteedGang = {
    readonly customer: CustomerId;
    readonly guarantee: GuaranteeId;
    /** Zero-based index of the gang within its guarantee. */
    readonly index: number;
    readonly shape: GangShape;
};
