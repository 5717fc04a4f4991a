import type { JobId, WorkerId } from "../ids.js";

/** The step for which advice is requested. */
export type AdvisedStep = { readonly job: JobId; readonly occurrence: number; readonly step: number };

/** A worker that may run a step, and the ticket that an order to start a task there must carry. */
export type Permission = { readonly worker: WorkerId; readonly ticket: string };

/** Outcome of a request for advice. */
export type AdviceOutcome =
    /** The workers that may run the step; their tickets are valid for `validityMs` milliseconds. */
    | { readonly kind: "advised"; readonly allowed: readonly Permission[]; readonly validityMs: number }
    /** The service has too many pending requests. */
    | { readonly kind: "busy" }
    /** The service does not answer, or answers with an error. */
    | { readonly kind: "failed"; readonly cause: string };

/** Client of the advice service, which decides which workers a queue's policy allows for a step. */
export type AdvicePort = {
    /** Requests advice about up to 100 workers; the call ends within `timeoutMs` milliseconds. */
    readonly advise: (
        step: AdvisedStep,
        workers: readonly WorkerId[],
        timeoutMs: number,
    ) => Promise<AdviceOutcome>;
};
