import type { FleetConfiguration, QueueTerms } from "../../FleetConfiguration.js";
import type { JobEntry, TermsSource } from "../../state/JobEntry.js";

/** The terms that apply to a job; `undefined` if it cannot be placed. */
export type AppliedTerms = { readonly source: TermsSource; readonly terms: QueueTerms | undefined };

/** Finds the terms that apply to a job. */
export type TermsFinder = (entry: JobEntry) => AppliedTerms;

/** Terms, other than the service, of a job that was accepted without terms and whose queue is unknown. */
const ASSUMED_TERMS: Omit<QueueTerms, "service"> = {
    priority: Number.MAX_SAFE_INTEGER,
    attempts: 2,
    stretch: 1,
    objectiveMs: 0,
    advice: undefined,
};

/**
 * Creates a function that finds the terms that apply to a job.
 *
 * While a queue with the name of the job's queue is configured, its present terms apply, so that an operator can change
 * them. Otherwise, the terms apply under which the job was accepted: it is run whatever becomes of its queue. They also
 * apply while the configuration is older than that of the daemon that accepted the job. A job of an earlier version has
 * none. The last terms of its queue apply if an owner has known them; if not, the job runs at
 * the lowest priority on the only service, or waits for its queue if there are several.
 *
 * @param configuration - The configuration in force.
 * @returns The function.
 *
 * @example
 * const { terms } = createTermsFinder(configuration)(entry);
 */
export function createTermsFinder(
    { version, queues, services }: Pick<FleetConfiguration, "version" | "queues" | "services">,
): TermsFinder {
    const queuesByName = new Map(queues.map(queue => [queue.name, queue]));
    const [service, ...otherServices] = services;
    const assumed = service !== undefined && otherServices.length === 0
        ? { ...ASSUMED_TERMS, service: service.name }
        : undefined;
    return ({ queue, job, acceptedTerms, lastTerms }) => {
        if (acceptedTerms !== undefined && (job.termsVersion ?? 0) > version) {
            return { source: "newer", terms: acceptedTerms };
        }
        const configured = queuesByName.get(queue);
        if (configured !== undefined) {
            return { source: "configured", terms: configured };
        }
        if (acceptedTerms !== undefined) {
            return { source: "accepted", terms: acceptedTerms };
        }
        if (lastTerms !== undefined) {
            return { source: "last-known", terms: lastTerms };
        }
        return { source: assumed === undefined ? "none" : "assumed", terms: assumed };
    };
}
