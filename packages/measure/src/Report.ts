/** Result of a measurement, as printed. */
export type Report = {
    readonly name: string;
    /** Whether the run violated a guarantee, for example by a wrong answer or an interrupted request. */
    readonly failed: boolean;
    /** Rows of a label followed by values; a goal, where there is one, is the last value. */
    readonly rows: readonly (readonly string[])[];
};
