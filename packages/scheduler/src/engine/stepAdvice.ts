import type { AdvicePolicy } from "../FleetConfiguration.js";
import type { StepAdvice, StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import type { Scheduler } from "./Scheduler.js";

/** Workers about which one call asks at most. */
const MAX_WORKERS_PER_CALL = 30;

/** Time added to what the service needs before a call is given up, in milliseconds. */
const ADVICE_TIMEOUT_MARGIN_MS = 1_000;

/** Pause after a call that failed, in milliseconds. */
const ADVICE_RETRY_MS = 300;

/** Time before its end at which a permission is not used any more, in milliseconds. */
const TICKET_MARGIN_MS = 500;

/**
 * Returns the workers that are allowed to run a step.
 *
 * @param policy - The queue's policy, if it has one.
 * @param step - The step.
 * @param workers - Suited workers.
 * @param now - Steady time in milliseconds.
 * @returns Workers with a permission that is still valid; all of them without a policy.
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
 * Asks about workers of which nothing is known, those with the most room first; one call at a time for
 * each step.
 *
 * @param scheduler - The scheduler.
 * @param policy - The queue's policy.
 * @param step - The step, which found too little room on the workers that are allowed.
 * @param workers - Suited workers.
 */
export function requestAdvice(
    scheduler: Scheduler,
    policy: AdvicePolicy,
    step: StepEntry,
    workers: readonly WorkerEntry[],
): void {
    const advice = step.advice ??= { tickets: new Map(), denied: new Set(), isAsking: false };
    const allowed = filterAllowedWorkers(policy, step, workers, scheduler.clock());
    const candidates = workers
        .filter(worker => !allowed.includes(worker) && !advice.denied.has(worker.id))
        .sort((left, right) => right.free.accelerators - left.free.accelerators)
        .slice(0, MAX_WORKERS_PER_CALL);
    if (!advice.isAsking && candidates.length > 0) {
        advice.isAsking = true;
        scheduler.spawn(() => callAdvice(scheduler, policy, step, advice, candidates));
    }
}

/**
 * Returns the permission for a start.
 *
 * @param step - The step.
 * @param worker - The worker.
 * @returns The ticket; empty if the queue needs none.
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
    scheduler.log.info("Advice is asked.", {
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
    advice.isAsking = false;
    scheduler.requestPass();
}
