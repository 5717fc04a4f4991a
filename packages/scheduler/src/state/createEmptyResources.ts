import type { Resources } from "@balsamward/schema/scheduling";

/**
 * Creates resources of which there are none yet.
 *
 * @returns The resources, which the caller may change.
 */
export function createEmptyResources(): Resources {
    return { $typeName: "balsamward.scheduling.v1.Resources", cpuMillis: 0, memoryMb: 0, accelerators: 0 };
}
