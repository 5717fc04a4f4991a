import { JobSchema, ProgressSchema, RosterRecordSchema } from "@balsamward/schema/scheduling";
import type { Job, Progress } from "@balsamward/schema/scheduling";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Then, When } from "@cucumber/cucumber";
import { errAsync } from "neverthrow";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { storeKeys } from "../../storeKeys.js";

const ODD_JOB_ID = "00000000000000ff";

/** Bytes that end in the middle of a field. */
const MALFORMED = Uint8Array.of(0x0a, 0xff, 0xff);

type JobInit = MessageInitShape<typeof JobSchema>;

/** Creates the value of a job with one step of one task, in which some fields are replaced. */
function createJobRecord(id: string, replaced: JobInit = {}, step: object = {}): Uint8Array {
    const request = { cpuMillis: 1, memoryMb: 1, accelerators: 1 };
    const steps = [{ taskCount: 1, request, estimatedMs: 5_000, ...step }];
    return toBinary(
        JobSchema,
        create(JobSchema, { id, queue: "normal", customer: "ana", spec: "s", steps, ...replaced }),
    );
}

/** Returns the key and the value of the job that a text describes. */
function createOddJob(text: string): { readonly key: string; readonly value: Uint8Array } {
    const id = ODD_JOB_ID;
    const key = storeKeys.job(id);
    const [, amount] = /(-?\w+) (tasks|occurrences|accelerators)/.exec(text) ?? [];
    switch (amount === undefined ? text : text.replace(amount, "N")) {
        case "of bytes that are no record":
            return { key, value: MALFORMED };
        case "that is empty":
            return { key, value: new Uint8Array() };
        case "under the id of another job":
            return { key, value: createJobRecord("00000000000000fe") };
        case "under a key that is no id": {
            const oddId = "odd".repeat(50);
            return { key: storeKeys.job(oddId), value: createJobRecord(oddId) };
        }
        case "without steps":
            return { key, value: createJobRecord(id, { steps: [] }) };
        case "with N tasks":
            return { key, value: createJobRecord(id, {}, { taskCount: Number(amount) }) };
        case "with N occurrences at once":
            return { key, value: createJobRecord(id, { schedule: { times: Number(amount) } }) };
        case "with a step that waits for itself":
            return { key, value: createJobRecord(id, {}, { after: [0] }) };
        case "that needs N accelerators":
            return { key, value: createJobRecord(id, {}, { request: { accelerators: Number(amount) } }) };
        case "that was accepted at NaN":
            return { key, value: createJobRecord(id, { acceptedAtMs: Number.NaN }) };
        default:
            throw new Error(`The oddity '${text}' is unknown.`);
    }
}

/** Returns the progress of a job in which one value is replaced by what the text describes. */
function createOddProgress(progress: Progress, text: string): Uint8Array {
    if (text === "of bytes that are no record") {
        return MALFORMED;
    }
    const value = Number(/\w+$/.exec(text.replace(" failures", ""))![0]);
    const [step] = progress.steps;
    const [task] = step!.tasks;
    if (text.includes("state")) {
        progress.state = value;
    }
    else if (text.includes("run")) {
        task!.lastRun = value;
    }
    else if (text.includes("failures")) {
        task!.failures = value;
    }
    else if (text.includes("occurrence")) {
        step!.occurrence = value;
    }
    else {
        progress.endedAtMs = value;
    }
    return toBinary(ProgressSchema, progress);
}

When(/^another client stores a job (.+)$/, async function(this: TestWorld, oddity: string) {
    const { key, value } = createOddJob(oddity);
    getHarness(this).store.put(key, value);
    await getHarness(this).advance(100);
});

When(
    /^another client stores progress of (\w+) (.+)$/,
    function(this: TestWorld, job: string, oddity: string) {
        const { store } = getHarness(this);
        const key = storeKeys.progress(getJobId(this, job));
        const progress = fromBinary(ProgressSchema, store.get(key)!.value);
        store.put(key, createOddProgress(progress, oddity));
    },
);

When("another client stores an unreadable roster", function(this: TestWorld) {
    getHarness(this).store.put(storeKeys.roster, MALFORMED);
});

When("another client adds odd entries to the stored roster", function(this: TestWorld) {
    const { store } = getHarness(this);
    const roster = fromBinary(RosterRecordSchema, store.get(storeKeys.roster)!.value);
    const addresses = ["", "....:80", "999.1.1.1:80", "10.9.9.9:99999", "10.0.0.1:80", "a b:1", "\u0000:1"];
    const entries = addresses.map((address, index) => ({ worker: `odd ${index}\u00e9`, address }));
    const workers = [...entries, { worker: "", address: "" }, ...roster.workers];
    store.put(storeKeys.roster, toBinary(RosterRecordSchema, create(RosterRecordSchema, { workers })));
});

When("another client stores a wave that cannot be decoded", function(this: TestWorld) {
    getHarness(this).store.put("waves/0", Buffer.from("[".repeat(200_000)));
});

When("the store refuses watches except from the revision of a list", function(this: TestWorld) {
    const { store } = getHarness(this).terms.at(-1)!.scheduler;
    const { list, watch } = store;
    const listedRevisions = new Set<number>();
    const listAndRecord: typeof list = (...call) =>
        list(...call).map(listing => {
            listedRevisions.add(listing.revision);
            return listing;
        });
    const refuse: typeof watch = (prefix, after, ...rest) =>
        listedRevisions.has(after)
            ? watch(prefix, after, ...rest)
            : errAsync({ kind: "invalid", message: "The watch is refused. Check the request." });
    Object.assign(store, { list: listAndRecord, watch: refuse });
});

async function countIgnoredRecords(world: TestWorld): Promise<Readonly<Record<string, number>>> {
    const { values } = await getHarness(world).terms.at(-1)!.scheduler.metrics.ignoredRecords.get();
    return Object.fromEntries(values.map(({ labels, value }) => [labels.record, value]));
}

Then(
    /^(\d+) records? (\w+) (?:is|are) ignored$/,
    async function(this: TestWorld, count: string, record: string) {
        assert.deepEqual(await countIgnoredRecords(this), { [record]: Number(count) });
    },
);

Then("{int} record(s) is/are ignored", async function(this: TestWorld, count: number) {
    const counts = Object.values(await countIgnoredRecords(this));
    assert.equal(counts.reduce((sum, value) => sum + value, 0), count);
});

Then("the owner knows {int} jobs", function(this: TestWorld, count: number) {
    const jobs: readonly Job[] = [...getHarness(this).terms.at(-1)!.scheduler.jobs.values()].map(({ job }) =>
        job
    );
    assert.equal(jobs.length, count);
});

Then("the owner has not resigned", function(this: TestWorld) {
    assert.deepEqual(getHarness(this).terms.at(-1)!.resignations, []);
});

When("an owner of an earlier version has had a term since the roster was stored", function(this: TestWorld) {
    const { store } = getHarness(this);
    const record = fromBinary(RosterRecordSchema, store.get(storeKeys.roster)!.value);
    record.nextTerm -= 1;
    store.put(storeKeys.roster, toBinary(RosterRecordSchema, record));
});
