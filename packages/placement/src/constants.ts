/** Most accelerators of one worker, bounded by the mask of a placement. */
export const MAX_ACCELERATORS_PER_WORKER = 16;
