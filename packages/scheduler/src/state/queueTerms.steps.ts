import { QueueTermsSchema } from "@balsamward/schema/scheduling";
import type { QueueTermsSchema as QueueTermsSchemaType } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Then } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { createTestConfiguration } from "../../../../features/support/createTestConfiguration.js";
import { decodeQueueTerms } from "./decodeQueueTerms.js";
import { encodeQueueTerms } from "./encodeQueueTerms.js";

type TermsInit = MessageInitShape<typeof QueueTermsSchemaType>;

const SOUND: TermsInit = { service: "service", priority: 1, attempts: 2, stretch: 3, objectiveMs: 4 };

const ODD: readonly TermsInit[] = [
    { ...SOUND, service: "" },
    { ...SOUND, priority: -1 },
    { ...SOUND, attempts: Number.NaN },
    { ...SOUND, stretch: Number.POSITIVE_INFINITY },
    { ...SOUND, advice: { decisionMs: 1, perWorkerMs: -1, validityMs: 1 } },
];

Then("the terms of each queue are read as they were stored", function() {
    for (const queue of createTestConfiguration().queues) {
        const { service, priority, attempts, stretch, objectiveMs, advice } = queue;
        const stored = toBinary(QueueTermsSchema, encodeQueueTerms(queue));
        assert.deepEqual(
            decodeQueueTerms(fromBinary(QueueTermsSchema, stored)),
            { service, priority, attempts, stretch, objectiveMs, advice },
            queue.name,
        );
    }
});

Then("no terms are read from odd records", function() {
    assert.notEqual(decodeQueueTerms(create(QueueTermsSchema, SOUND)), undefined);
    ODD.forEach(odd => assert.equal(decodeQueueTerms(create(QueueTermsSchema, odd)), undefined));
});
