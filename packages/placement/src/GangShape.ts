import type { Adjacency } from "@balsamward/schema";

/** Number and required adjacency of the accelerators of a gang. */
export type GangShape = {
    /** Number of members, at least 1. */
    readonly members: number;
    /** Number of accelerators of each member, at least 1. */
    readonly acceleratorsPerMember: number;
    readonly adjacency: Adjacency;
};
