import type { Resources } from "@balsamward/schema/scheduling";

/** The kinds of resources. */
export const RESOURCE_KINDS = ["cpuMillis", "memoryMb", "accelerators"] as const;

/** An amount of each kind of resource. */
export type ResourceAmounts = Pick<Resources, (typeof RESOURCE_KINDS)[number]>;
