import { JobSchema } from "@balsamward/schema/scheduling";
import { create } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import * as fc from "fast-check";
import assert from "node:assert/strict";
import { getHarness, getJobId } from "../../../../features/support/schedulerScenario.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { WorkerId } from "../ids.js";
import { createJobEntry } from "../state/createJobEntry.js";
import type { StepEntry } from "../state/JobEntry.js";
import type { WorkerEntry } from "../state/WorkerEntry.js";
import { createWorkerEntry } from "../state/WorkerEntry.js";
import { compareFreeResources, countFittingTasks } from "./countFittingTasks.js";
import { placeGang } from "./placeGang.js";
import { placeTasks } from "./placeTasks.js";

const SEED = 17;
const CAPACITY = 8;

/** A worker's rack, free accelerators and relative run time. */
type WorkerSpec = { readonly rack: number; readonly accelerators: number; readonly relativeRunTime: number };

function createWorker({ rack, accelerators, relativeRunTime }: WorkerSpec, number: number): WorkerEntry {
    const wakeSignal = { notify: () => {}, wait: async () => {} };
    const worker = createWorkerEntry(`w${number}` as WorkerId, "", wakeSignal, 0);
    worker.rack = `r${rack}`;
    worker.relativeRunTime = relativeRunTime;
    Object.assign(worker.free, { cpuMillis: 1_000, memoryMb: 1_000, accelerators });
    return worker;
}

function createStep(taskCount: number, accelerators: number, dataRack = ""): StepEntry {
    const steps = [{ taskCount, request: { accelerators }, dataRack }];
    return createJobEntry(create(JobSchema, { steps }), 1, 0).occurrences.get(0)![0]!;
}

function createWorkersArbitrary(
    relativeRunTimes: fc.Arbitrary<number>,
): fc.Arbitrary<readonly WorkerEntry[]> {
    const spec = fc.record({
        rack: fc.integer({ min: 0, max: 3 }),
        accelerators: fc.integer({ min: 0, max: CAPACITY }),
        relativeRunTime: relativeRunTimes,
    });
    return fc.array(spec, { minLength: 1, maxLength: 16 }).map(specs => specs.map(createWorker));
}

const stepArbitrary = fc.tuple(
    fc.integer({ min: 1, max: 8 }),
    fc.constantFrom(1, 2, 4, 8),
    fc.constantFrom("", "r0", "r1"),
).map(([taskCount, accelerators, dataRack]) => createStep(taskCount, accelerators, dataRack));

const limitArbitrary = fc.constantFrom(0, 0.7, 0.95, 1.05, 1.2, 2, Number.POSITIVE_INFINITY)
    .map(maxRelativeRunTime => ({ maxRelativeRunTime, now: 0 }));

/** Lists a worker for each task that fits, by best fit. */
function listBestFit(workers: readonly WorkerEntry[], { spec }: StepEntry): readonly WorkerEntry[] {
    return [...workers].sort(compareFreeResources).flatMap(worker =>
        Array.from({ length: countFittingTasks(worker, spec, 0) }, () => worker)
    );
}

/** Chooses the workers of a gang by best fit: in the rack of its data, or the one with the fewest free accelerators. */
function chooseByBestFit(
    step: StepEntry,
    workers: readonly WorkerEntry[],
    requiresOneRack: boolean,
): readonly WorkerEntry[] {
    const { taskCount, dataRack } = step.spec;
    const usable = workers.filter(worker => countFittingTasks(worker, step.spec, 0) > 0);
    const sumFree = (rack: readonly WorkerEntry[]): number =>
        rack.reduce((sum, worker) => sum + worker.free.accelerators, 0);
    const racks = [...new Set(usable.map(({ rack }) => rack))]
        .map(rack => usable.filter(worker => worker.rack === rack))
        .filter(rack => listBestFit(rack, step).length >= taskCount);
    const chosen = racks.find(rack => rack[0]!.rack === dataRack)
        ?? (requiresOneRack ? racks.sort((left, right) => sumFree(left) - sumFree(right))[0] ?? [] : usable);
    const slots = listBestFit(chosen, step);
    return slots.length < taskCount ? [] : slots.slice(0, taskCount);
}

Then("the choice is the best fit, for random fleets of one band", () => {
    const workers = createWorkersArbitrary(fc.double({ min: 0.9, max: 1.1, noNaN: true }));
    const property = fc.property(workers, stepArbitrary, limitArbitrary, (fleet, step, limit) => {
        const { dataRack, taskCount } = step.spec;
        const near = fleet.filter(({ rack }) => rack === dataRack);
        const far = fleet.filter(({ rack }) => rack !== dataRack);
        assert.deepEqual(
            placeTasks(step, step.tasks, fleet, limit).map(({ worker }) => worker.id),
            [...listBestFit(near, step), ...listBestFit(far, step)].slice(0, taskCount).map(({ id }) => id),
        );
        for (const requiresOneRack of [false, true]) {
            assert.deepEqual(
                (placeGang(step, fleet, requiresOneRack, limit) ?? []).map(({ worker }) => worker.id),
                chooseByBestFit(step, fleet, requiresOneRack).map(({ id }) => id),
            );
        }
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

Then("fast enough workers are used up first, for random fleets and limits", () => {
    const workers = createWorkersArbitrary(fc.constantFrom(0.6, 1, 1.65));
    const property = fc.property(workers, stepArbitrary, limitArbitrary, (fleet, step, limit) => {
        step.spec.dataRack = "";
        const isFastEnough = ({ relativeRunTime }: WorkerEntry): boolean =>
            relativeRunTime <= limit.maxRelativeRunTime;
        const room = listBestFit(fleet.filter(isFastEnough), step).length;
        const placed = placeTasks(step, step.tasks, fleet, limit);
        const members = placeGang(step, fleet, false, limit);
        assert.equal(placed.length, Math.min(step.spec.taskCount, listBestFit(fleet, step).length));
        assert.equal(
            placed.filter(({ worker }) => isFastEnough(worker)).length,
            Math.min(room, placed.length),
        );
        assert.equal(members !== undefined, placed.length === step.spec.taskCount);
        if (members !== undefined && room >= members.length) {
            assert.ok(members.every(({ worker }) => isFastEnough(worker)));
        }
    });
    fc.assert(property, { seed: SEED, numRuns: 2_000 });
});

Given(
    "the workers take {float}, {float} and {float} times the usual time in turn",
    function(this: TestWorld, first: number, second: number, third: number) {
        const relativeRunTimes = [first, second, third];
        [...getHarness(this).terms.at(-1)!.scheduler.fleet.values()].forEach((worker, index) => {
            // What the owner learns meanwhile does not replace it.
            const relativeRunTime = relativeRunTimes[index % relativeRunTimes.length]!;
            Object.defineProperty(worker, "relativeRunTime", { get: () => relativeRunTime, set: () => {} });
        });
    },
);

Given(
    "the queue {word} has the stretch {float} and the objective {int} ms",
    function(this: TestWorld, name: string, stretch: number, objectiveMs: number) {
        const harness = getHarness(this);
        const queues = harness.configuration.queues.map(queue =>
            queue.name as string === name ? { ...queue, stretch, objectiveMs } : queue
        );
        harness.configuration = { ...harness.configuration, queues };
    },
);

When(
    "{word} submits the {word} job {word} of {int} tasks with their data in the rack {word}",
    async function(
        this: TestWorld,
        customer: string,
        queue: string,
        name: string,
        taskCount: number,
        dataRack: string,
    ) {
        const step = { taskCount, request: { accelerators: CAPACITY }, estimatedMs: 5_000, dataRack };
        this.notes.set(`job ${name}`, getHarness(this).submit(queue, customer, [step]));
        await getHarness(this).advance(100);
    },
);

Then(
    "the tasks of {word} run on workers that take {string}",
    function(this: TestWorld, job: string, expected: string) {
        const harness = getHarness(this);
        const { fleet } = harness.terms.at(-1)!.scheduler;
        const speeds = harness.listRunningTasks()
            .filter(text => text.startsWith(getJobId(this, job)))
            .map(text => fleet.get(text.split(" ").at(-1) as WorkerId)!.relativeRunTime)
            .sort((left, right) => left - right);
        assert.equal(speeds.join(", "), expected);
    },
);

Given(
    "racks with the free accelerators and relative run times {string}",
    function(this: TestWorld, racks: string) {
        const specs = racks.split(";").flatMap((rack, number) =>
            rack.trim().split(" ").map((worker): WorkerSpec => {
                const [accelerators, relativeRunTime] = worker.split("@").map(Number);
                return { rack: number, accelerators: accelerators!, relativeRunTime: relativeRunTime! };
            })
        );
        this.notes.set("workers", specs.map(createWorker));
    },
);

Then(
    "a gang of two tasks with 2 accelerators and the limit {float} chooses the rack {word}",
    function(this: TestWorld, maxRelativeRunTime: number, rack: string) {
        const workers = this.note<readonly WorkerEntry[]>("workers");
        const members = placeGang(createStep(2, 2), workers, true, { maxRelativeRunTime, now: 0 });
        assert.deepEqual(members?.map(({ worker }) => worker.rack), [rack, rack]);
    },
);
