/** What a measurement prints. */
export type Report = {
    readonly name: string;
    /** Whether a promise was broken during the run. */
    readonly failed: boolean;
    /** Label, value and, where there is one, the goal. */
    readonly rows: readonly (readonly string[])[];
};
