/** An owner's lease in the store: when its last answered renewal was sent, in milliseconds. */
export type StoreLease = {
    /** By the clock of the owner's process. */
    heldAt: number;
    /** By the clock that the test advances. */
    renewedAt: number;
};
