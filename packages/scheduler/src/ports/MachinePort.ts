/** State of a machine, as listed by the platform. */
export type MachineState = "up" | "moving" | "upkeep" | "down";

/** A machine of the platform, on which a worker may run. */
export type Machine = { readonly name: string; readonly state: MachineState };

/** An order to begin the upkeep of a machine. */
export type UpkeepOrder = {
    readonly machine: string;
    /** Number of the upkeep wave. */
    readonly wave: number;
    /** Name of the daemon that gives the order. */
    readonly holder: string;
    /** Fencing token: the revision at which the owner's term began. */
    readonly fence: number;
};

/** Outcome of an order for upkeep. */
export type UpkeepOutcome =
    /** The upkeep has begun, by this order or an earlier one. */
    | { readonly kind: "begun" }
    /** The machine is not up, or is leaving. */
    | { readonly kind: "busy" }
    /** The machine does not belong to the wave, or does not exist. */
    | { readonly kind: "not-in-wave" }
    /** The platform has received an order of a newer owner. */
    | { readonly kind: "fenced" }
    /** The outcome is unknown, or the platform accepts no more calls at the moment. */
    | { readonly kind: "unclear"; readonly cause: string };

/** Client of the platform's machine control. */
export type MachinePort = {
    /** Lists all machines; returns `undefined` if the platform does not answer. */
    readonly list: () => Promise<readonly Machine[] | undefined>;
    readonly beginUpkeep: (order: UpkeepOrder) => Promise<UpkeepOutcome>;
};

/** A set of machines that the operator has scheduled for upkeep. */
export type UpkeepWave = {
    readonly number: number;
    readonly machines: readonly string[];
    /** Time within which the upkeep of all machines should be complete, in milliseconds. */
    readonly durationMs: number;
    /** Largest number of machines that may be down for upkeep at once. */
    readonly maxDown: number;
};

/** Keys and encoding of upkeep waves in the store. */
export type WaveRecordFormat = {
    /** Prefix of the keys under which the waves are stored. */
    readonly prefix: string;
    /** Decodes a wave; returns `undefined` if the value is not a wave. */
    readonly decode: (value: Uint8Array) => UpkeepWave | undefined;
    /** Returns the key of a wave's status. */
    readonly statusKey: (wave: number) => string;
    readonly encodeStatus: (state: "running" | "completed") => Uint8Array;
};
