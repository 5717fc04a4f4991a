import type { FleetConfiguration } from "../../FleetConfiguration.js";
import type { JobEntry } from "../../state/JobEntry.js";
import type { TermsFinder } from "../jobs/createTermsFinder.js";
import type { Scheduler } from "../Scheduler.js";

/**
 * Finds the urgent jobs that are covered by their customers' guarantees.
 *
 * Each customer's guaranteed accelerators are given to its urgent jobs from the oldest on. A job whose first
 * step needs more accelerators than remain is not covered.
 *
 * @param scheduler - The scheduler.
 * @param configuration - The configuration in force.
 * @param findTerms - Finds the terms that apply to a job.
 * @returns The jobs that may preempt runs of other jobs.
 */
export function findEntitledJobs(
    scheduler: Scheduler,
    configuration: FleetConfiguration,
    findTerms: TermsFinder,
): ReadonlySet<JobEntry> {
    const remainingByCustomer = new Map(
        configuration.customers.map(customer => [customer.name, customer.guaranteedAccelerators]),
    );
    const entitled = new Set<JobEntry>();
    const urgentJobs = [...scheduler.activeJobs]
        .filter(entry => findTerms(entry).terms?.priority === 0)
        .sort((left, right) => left.revision - right.revision);
    for (const entry of urgentJobs) {
        const needed = countFirstStepAccelerators(entry);
        const remaining = remainingByCustomer.get(entry.job.customer) ?? 0;
        if (needed <= remaining) {
            entitled.add(entry);
            remainingByCustomer.set(entry.job.customer, remaining - needed);
        }
    }
    return entitled;
}

function countFirstStepAccelerators(entry: JobEntry): number {
    const step = entry.job.steps[0];
    return step === undefined ? 0 : step.taskCount * (step.request?.accelerators ?? 0);
}
