import type { AdvicePolicy } from "../../FleetConfiguration.js";
import type { StepAdvice, StepEntry } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import type { Scheduler } from "../Scheduler.js";

/** Maximum number of workers that one call asks about. */
const MAX_WORKERS_PER_CALL = 30;

/** Time added to the expected duration of a call to obtain its timeout, in milliseconds. */
const ADVICE_TIMEOUT_MARGIN_MS = 1_000;

/** Pause after a failed call, in milliseconds. */
const ADVICE_RETRY_MS = 300;

/** Time before its expiry at which a ticket is no longer used, in milliseconds. */
const TICKET_MARGIN_MS = 500;

/**
 * Returns those workers that the advice service allows to run a step.
 *
 * @param policy - The queue's advice policy, if it has one.
 * @param step - The step.
 * @param workers - Eligible workers.
 * @param now - Monotonic time in milliseconds.
 * @returns Workers with a valid ticket; all given workers if there is no policy.
 */
export function filterAllowedWorkers(
    policy: AdvicePolicy | undefined,
    step: StepEntry,
    workers: readonly WorkerEntry[],
    now: number,
): readonly WorkerEntry[] {
    return policy === undefined
        ? workers
        : workers.filter(({ id }) => (step.advice?.tickets.get(id)?.validUntil ?? 0) > now);
}

/**
 * Requests advice about workers without a ticket or a denial, those with the most free accelerators first. Each
 * step has at most one call in progress.
 *
 * @param scheduler - The scheduler.
 * @param policy - The queue's advice policy.
 * @param step - The step, which does not fit on the allowed workers.
 * @param workers - Eligible workers.
 */
export function requestAdvice(
    scheduler: Scheduler,
    policy: AdvicePolicy,
    step: StepEntry,
    workers: readonly WorkerEntry[],
): void {
    const advice = step.advice ??= { tickets: new Map(), denied: new Set(), isRequestPending: false };
    const allowed = filterAllowedWorkers(policy, step, workers, scheduler.clock());
    const candidates = workers
        .filter(worker => !allowed.includes(worker) && !advice.denied.has(worker.id))
        .sort((left, right) => right.free.accelerators - left.free.accelerators)
        .slice(0, MAX_WORKERS_PER_CALL);
    if (!advice.isRequestPending && candidates.length > 0) {
        advice.isRequestPending = true;
        scheduler.spawn(() => callAdvice(scheduler, policy, step, advice, candidates));
    }
}

/**
 * Returns the ticket that permits a step's runs to start on a worker.
 *
 * @param step - The step.
 * @param worker - The worker.
 * @returns The ticket; empty if there is none.
 */
export function findTicket(step: StepEntry, worker: WorkerEntry): string {
    return step.advice?.tickets.get(worker.id)?.ticket ?? "";
}

async function callAdvice(
    scheduler: Scheduler,
    policy: AdvicePolicy,
    step: StepEntry,
    advice: StepAdvice,
    candidates: readonly WorkerEntry[],
): Promise<void> {
    const stepName = { job: step.job.id, occurrence: step.occurrence, step: step.number };
    const timeoutMs = policy.decisionMs + policy.perWorkerMs * candidates.length + ADVICE_TIMEOUT_MARGIN_MS;
    const outcome = await scheduler.adviceQueue.add(() =>
        scheduler.advice.advise(stepName, candidates.map(worker => worker.id), timeoutMs)
    );
    scheduler.log.info("The advice service is asked about workers.", {
        ...stepName,
        workers: candidates.length,
        outcome: outcome.kind,
    });
    switch (outcome.kind) {
        case "advised": {
            const validUntil = scheduler.clock() + outcome.validityMs - TICKET_MARGIN_MS;
            outcome.allowed.forEach(({ worker, ticket }) =>
                advice.tickets.set(worker, { ticket, validUntil })
            );
            const allowed = new Set(outcome.allowed.map(({ worker }) => worker));
            candidates.filter(({ id }) => !allowed.has(id)).forEach(({ id }) => advice.denied.add(id));
            break;
        }
        case "busy":
        case "failed":
            await scheduler.pause(ADVICE_RETRY_MS, scheduler.ownership.signal);
    }
    advice.isRequestPending = false;
    scheduler.requestPass();
}
