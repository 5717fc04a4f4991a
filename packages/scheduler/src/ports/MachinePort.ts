/** State of a machine as the platform lists it. */
export type MachineState = "up" | "moving" | "upkeep" | "down";

/** A machine, of which each worker is one life. */
export type Machine = { readonly name: string; readonly state: MachineState };

/** An order for the upkeep of a machine. */
export type UpkeepOrder = {
    readonly machine: string;
    readonly wave: number;
    /** The daemon that orders. */
    readonly holder: string;
    readonly fence: number;
};

/** The outcome of an order for upkeep. */
export type UpkeepOutcome =
    /** The upkeep has begun, now or before. */
    | { readonly kind: "begun" }
    /** The machine is not up, or leaves. */
    | { readonly kind: "busy" }
    /** The machine is not one of the wave, or does not exist. */
    | { readonly kind: "not-in-wave" }
    | { readonly kind: "fenced" }
    /** Nothing is known, or the platform takes no more calls now. */
    | { readonly kind: "unclear"; readonly cause: string };

/** The platform's control of machines. */
export type MachinePort = {
    /** Lists all machines; `undefined` if the platform does not answer. */
    readonly list: () => Promise<readonly Machine[] | undefined>;
    readonly beginUpkeep: (order: UpkeepOrder) => Promise<UpkeepOutcome>;
};

/** Machines that the operator wants to have their upkeep. */
export type UpkeepWave = {
    readonly number: number;
    readonly machines: readonly string[];
    /** Time within which all of them should have had it, in milliseconds. */
    readonly durationMs: number;
    /** Most machines that are down for it at once. */
    readonly maxDown: number;
};

/** How waves stand in the store. */
export type WaveRecordFormat = {
    /** Prefix of the waves' keys. */
    readonly prefix: string;
    readonly decode: (value: Uint8Array) => UpkeepWave | undefined;
    readonly statusKey: (wave: number) => string;
    readonly encodeStatus: (state: "running" | "completed") => Uint8Array;
};
