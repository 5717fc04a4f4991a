import type { Resources } from "@balsamward/schema/scheduling";

/**
 * Creates resources with all amounts zero.
 *
 * @returns A new object, which the caller may modify.
 */
export function createEmptyResources(): Resources {
    return { $typeName: "balsamward.scheduling.v1.Resources", cpuMillis: 0, memoryMb: 0, accelerators: 0 };
}
