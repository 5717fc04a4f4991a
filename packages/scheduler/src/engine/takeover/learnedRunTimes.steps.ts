import { RunTimesRecordSchema } from "@balsamward/schema/scheduling";
import { fromBinary, toBinary } from "@bufbuild/protobuf";
import { Then, When } from "@cucumber/cucumber";
import { ResultAsync } from "neverthrow";
import assert from "node:assert/strict";
import { getHarness } from "../../../../../features/support/schedulerScenario.js";
import type { SchedulerTestHarness } from "../../../../../features/support/SchedulerTestHarness.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import { composeSnapshot, SNAPSHOT_FORMAT } from "../../runTimes/composeSnapshot.js";
import { createRelativeRunTimes } from "../../runTimes/createRelativeRunTimes.js";
import { createRunTimePredictor } from "../../runTimes/createRunTimePredictor.js";
import { ESTIMATE_LEVEL } from "../../runTimes/RunTimeLevel.js";
import { storeKeys } from "../../storeKeys.js";

const MS_PER_SECOND = 1_000;

/** Largest difference between two relative run times or medians that counts as none; the evidence ages meanwhile. */
const MAX_DIFFERENCE = 0.15;

/** Lengths of the names of machines and of the keys of kinds in a snapshot. */
const NAME_LENGTHS = { short: { machine: 20, kind: 50 }, long: { machine: 250, kind: 400 } } as const;

function putRecord(
    harness: SchedulerTestHarness,
    change: { readonly format?: number; readonly effect?: number },
): void {
    const record = fromBinary(RunTimesRecordSchema, harness.store.get(storeKeys.runTimes)!.value);
    record.format = change.format ?? record.format;
    record.machines.forEach(machine => machine.effect = change.effect ?? machine.effect);
    harness.store.put(storeKeys.runTimes, toBinary(RunTimesRecordSchema, record));
}

/** Makes the clients that are created later wait forever for the snapshot. */
function neverReadSnapshot({ store }: SchedulerTestHarness): void {
    const createClient = store.createClient.bind(store);
    store.createClient = () => {
        const client = createClient();
        return {
            ...client,
            read: key =>
                key === storeKeys.runTimes ? new ResultAsync(new Promise<never>(() => {})) : client.read(key),
        };
    };
}

When(/^the snapshot of run times (is lost|is of .+|holds .+|is never read)$/, async function(
    this: TestWorld,
    fault: string,
) {
    const harness = getHarness(this);
    assert.notEqual(harness.store.get(storeKeys.runTimes), undefined, "No snapshot is stored.");
    switch (fault) {
        case "is lost":
            await harness.store.createClient().commit({
                expect: [],
                puts: [],
                removals: [storeKeys.runTimes],
            });
            return;
        case "is of bytes that are no record":
            harness.store.put(storeKeys.runTimes, Uint8Array.of(0x0a, 0xff, 0xff));
            return;
        case "is of a newer format":
            putRecord(harness, { format: SNAPSHOT_FORMAT + 1 });
            return;
        case "holds impossible values":
            putRecord(harness, { effect: Number.NaN });
            return;
        case "is never read":
            neverReadSnapshot(harness);
            return;
        default:
            throw new Error(`The fault '${fault}' is unknown.`);
    }
});

When("the store refuses to write the snapshot of run times", function(this: TestWorld) {
    getHarness(this).store.refusedWritePrefix = storeKeys.runTimes;
});

When("the store writes the snapshot of run times again", function(this: TestWorld) {
    getHarness(this).store.refusedWritePrefix = undefined;
});

Then(
    "the snapshot of run times stays as it is for {int} seconds",
    async function(this: TestWorld, seconds: number) {
        const harness = getHarness(this);
        const { revision } = harness.store.get(storeKeys.runTimes)!;
        await harness.advance(seconds * MS_PER_SECOND);
        assert.equal(harness.store.get(storeKeys.runTimes)!.revision, revision);
    },
);

Then("the new owner has the relative run times of the first one", function(this: TestWorld) {
    const [first, second] = getHarness(this).terms.map(({ scheduler }) => scheduler.fleet);
    for (const { id, relativeRunTime } of first!.values()) {
        const adopted = second!.get(id)!.relativeRunTime;
        assert.ok(
            Math.abs(Math.log(adopted / relativeRunTime)) < MAX_DIFFERENCE,
            `${id}: ${adopted} instead of ${relativeRunTime}`,
        );
    }
});

Then("the new owner expects the run times that the first one expected", function(this: TestWorld) {
    const [first, second] = getHarness(this).terms.map(({ scheduler }) => scheduler);
    const step = [...[...first!.jobs.values()].at(-1)!.occurrences.values()].flat()[0]!;
    const { medianMs, highMs } = first!.runTimePredictor.forecast(step);
    const adopted = second!.runTimePredictor.forecast(step);
    assert.ok(Math.abs(Math.log(adopted.medianMs / medianMs)) < MAX_DIFFERENCE);
    assert.ok(Math.abs(Math.log(adopted.highMs / highMs)) < MAX_DIFFERENCE);
});

Then(
    "a snapshot of {int} machines and {int} kinds of {word} names has at most {int} KB",
    function(
        this: TestWorld,
        machineCount: number,
        kindCount: number,
        names: "short" | "long",
        maxKb: number,
    ) {
        const runTimePredictor = createRunTimePredictor();
        const relativeRunTimes = createRelativeRunTimes();
        const compose = (item: "machine" | "kind", number: number): string =>
            `${item}${number}`.padEnd(NAME_LENGTHS[names][item], "x");
        const machines = Array.from({ length: machineCount }, (_, number) => ({
            machine: compose("machine", number),
            effect: 0.5,
            weight: 100,
        }));
        const kinds = Array.from(
            { length: kindCount },
            (_, number) => [compose("kind", number), { ...ESTIMATE_LEVEL, count: 1 + number }] as const,
        );
        relativeRunTimes.importMachines(machines, 0, 0);
        runTimePredictor.importLevels({ queues: [], customers: kinds.slice(0, 30), kinds }, 0);
        const { record, value } = composeSnapshot({ runTimePredictor, relativeRunTimes }, 0);
        assert.ok(value.length <= maxKb * 1_024, `It has ${value.length} bytes.`);
        assert.ok(record.kinds.length > 0 && record.machines.length > 0);
        if (names === "short") {
            assert.equal(record.machines.length, machineCount);
            assert.equal(record.kinds.length, kindCount);
        }
    },
);
