import type { QueueTerms as QueueTermsMessage } from "@balsamward/schema/scheduling";
import { QueueTermsSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import type { QueueTerms } from "../FleetConfiguration.js";

/**
 * Encodes the terms of a queue, to be stored with a job.
 *
 * @param terms - The terms, or a queue.
 * @returns The message.
 */
export function encodeQueueTerms(
    { service, priority, attempts, stretch, objectiveMs, advice }: QueueTerms,
): QueueTermsMessage {
    return create(QueueTermsSchema, {
        service,
        priority,
        attempts,
        stretch,
        objectiveMs,
        ...(advice === undefined ? {} : { advice }),
    });
}
