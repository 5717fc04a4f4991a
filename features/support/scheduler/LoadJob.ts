import type { StepSchema } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";

/** A job of a replayed load, with one step. */
export type LoadJob = {
    readonly arrivalMs: number;
    readonly queue: string;
    readonly customer: string;
    readonly spec: MessageInitShape<typeof StepSchema>;
    /** Run time of each task on a typical worker, in milliseconds. */
    readonly runTimesMs: readonly number[];
};
