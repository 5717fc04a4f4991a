import type { QueueTerms as QueueTermsMessage } from "@balsamward/schema/scheduling";
import type { QueueTerms } from "../FleetConfiguration.js";

/**
 * Decodes the terms of a queue that are stored with a job.
 *
 * @param message - The message, if there is one.
 * @returns The terms; `undefined` if there are none, or if they name no service or have a number out of range.
 */
export function decodeQueueTerms(message: QueueTermsMessage | undefined): QueueTerms | undefined {
    if (message === undefined) {
        return undefined;
    }
    const { service, priority, attempts, stretch, objectiveMs, advice } = message;
    const amounts = [
        priority,
        attempts,
        stretch,
        objectiveMs,
        advice?.decisionMs ?? 0,
        advice?.perWorkerMs ?? 0,
        advice?.validityMs ?? 0,
    ];
    if (service === "" || !amounts.every(amount => Number.isFinite(amount) && amount >= 0)) {
        return undefined;
    }
    return {
        service,
        priority,
        attempts,
        stretch,
        objectiveMs,
        advice: advice === undefined
            ? undefined
            : {
                decisionMs: advice.decisionMs,
                perWorkerMs: advice.perWorkerMs,
                validityMs: advice.validityMs,
            },
    };
}
