import type { JobId, WorkerId } from "../ids.js";

/** A step about which advice is asked. */
export type AdvisedStep = { readonly job: JobId; readonly occurrence: number; readonly step: number };

/** A worker that may run a step, with the permission that a start has to carry. */
export type Permission = { readonly worker: WorkerId; readonly ticket: string };

/** The outcome of a call for advice. */
export type AdviceOutcome =
    | { readonly kind: "advised"; readonly allowed: readonly Permission[]; readonly validityMs: number }
    /** Too many calls wait. */
    | { readonly kind: "busy" }
    | { readonly kind: "failed"; readonly cause: string };

/** The service that knows which workers a queue's policy allows. */
export type AdvicePort = {
    /** Asks about up to 100 workers; the call ends within `timeoutMs`. */
    readonly advise: (
        step: AdvisedStep,
        workers: readonly WorkerId[],
        timeoutMs: number,
    ) => Promise<AdviceOutcome>;
};
