import type { StepSchema } from "@balsamward/schema/scheduling";
import { formatTaskName } from "@balsamward/stand-ins";
import type { MessageInitShape } from "@bufbuild/protobuf";
import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import { getHarness } from "../../../../../features/support/schedulerScenario.js";
import type { SchedulerTestHarness } from "../../../../../features/support/SchedulerTestHarness.js";
import type { TestWorld } from "../../../../../features/support/TestWorld.js";
import type { JobId, WorkerId } from "../../index.js";
import type { Run } from "../../state/JobEntry.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { applyRelativeRunTimes } from "../fleet/updateRelativeRunTimes.js";
import type { Scheduler } from "../Scheduler.js";

type StepInit = Exclude<MessageInitShape<typeof StepSchema>, { readonly $typeName: string }>;

const MS_PER_SECOND = 1_000;
const TICK_MS = 100;

/** Changes of the step and of its runs by the condition under which the tasks run. */
const CONDITIONS: Readonly<
    Record<string, {
        readonly step?: StepInit;
        readonly changeWorkers?: (workers: readonly WorkerEntry[]) => void;
        readonly changeRuns?: (runs: readonly Run[], harness: SchedulerTestHarness) => void;
    }>
> = {
    "as independent tasks": {},
    "as a gang": { step: { gang: true } },
    "that fill idle capacity": { step: { fillsIdle: true } },
    "that last until they are cancelled": { step: { lasting: true } },
    "away from their data": { step: { dataRack: "elsewhere" } },
    "as a one-rack gang in two racks": {
        step: { gang: true, sameRack: true },
        changeRuns: ([first], { workers }) => {
            first!.worker.rack = "elsewhere";
            Object.assign(workers.get(first!.worker.id)!.report, { rack: "elsewhere" });
        },
    },
    "that begin on cold workers": {
        changeWorkers: workers => workers.forEach(worker => worker.coldUntil = Number.POSITIVE_INFINITY),
    },
    "that are paced": { changeRuns: runs => runs.forEach(run => run.wasPaced = true) },
    "that resume from a checkpoint": {
        changeRuns: runs => runs.forEach(run => Object.assign(run, { coversWholeTask: false })),
    },
    "and the last one is cancelled": {},
};

function getScheduler(harness: SchedulerTestHarness): Scheduler {
    return harness.terms.at(-1)!.scheduler;
}

/** Advances the runs of a job, each of which makes progress at the speed of its worker. */
async function playJob(
    harness: SchedulerTestHarness,
    job: JobId,
    runsMs: readonly number[],
    isGang: boolean,
) {
    const totalMs = Math.max(...runsMs);
    for (let elapsedMs = TICK_MS; elapsedMs <= totalMs; elapsedMs += TICK_MS) {
        await harness.advance(TICK_MS);
        runsMs.forEach((runMs, number) => {
            const worker = harness.workers.get(`w${number}` as WorkerId)!;
            const running = [...worker.running.values()].find(({ task }) => task.job === job);
            if (running !== undefined) {
                running.percent = Math.min(100, Math.floor(100 * elapsedMs / runMs));
                if (elapsedMs >= (isGang ? totalMs : runMs)) {
                    worker.endRun(formatTaskName(running.task), "done");
                }
            }
        });
    }
    await harness.advance(MS_PER_SECOND);
}

When(
    /^tasks that take (.+) seconds run on w0 to w3 (.+)$/,
    async function(this: TestWorld, seconds: string, name: string) {
        const harness = getHarness(this);
        const { step = {}, changeWorkers, changeRuns } = CONDITIONS[name]!;
        const runsMs = seconds.split(", ").map(value => Number(value) * MS_PER_SECOND);
        const { fleet, jobs } = getScheduler(harness);
        changeWorkers?.([...fleet.values()]);
        const request = { cpuMillis: 1_000, memoryMb: 1_000, accelerators: 8 };
        const job = harness.submit("normal", "ana", [{
            taskCount: 4,
            request,
            estimatedMs: 5_000,
            maxPerWorker: 1,
            ...step,
        }]);
        await harness.advance(TICK_MS);
        const steps = [...jobs.get(job)!.occurrences.values()].flat();
        changeRuns?.(steps.flatMap(({ tasks }) => tasks.flatMap(({ runs }) => runs)), harness);
        if (name === "and the last one is cancelled") {
            await playJob(
                harness,
                job,
                runsMs.map(runMs => Math.min(runMs, 5 * MS_PER_SECOND)).slice(0, 3),
                false,
            );
        }
        else {
            await playJob(harness, job, runsMs, step.gang ?? false);
        }
        harness.cancel(job);
        await harness.advance(MS_PER_SECOND);
    },
);

When(
    "{int} seconds pass on the clock of the learned run times",
    function(this: TestWorld, seconds: number) {
        const scheduler = getScheduler(getHarness(this));
        scheduler.relativeRunTimes.importMachines([], 0, scheduler.clock() + seconds * MS_PER_SECOND);
        applyRelativeRunTimes(scheduler);
    },
);

Then("only {word} counts as slow", function(this: TestWorld, id: string) {
    const { fleet } = getScheduler(getHarness(this));
    const slow = [...fleet.values()].filter(worker => worker.relativeRunTime > 1.3);
    assert.deepEqual(slow.map(worker => worker.id), [id], describe(fleet.values()));
});

Then("{word} counts as slow", function(this: TestWorld, id: string) {
    const worker = getScheduler(getHarness(this)).fleet.get(id as WorkerId)!;
    assert.ok(worker.relativeRunTime > 1.3, `It is ${worker.relativeRunTime}.`);
});

Then("no worker counts as slow or fast", function(this: TestWorld) {
    const { fleet } = getScheduler(getHarness(this));
    const uneven = [...fleet.values()].filter(({ relativeRunTime }) =>
        Math.abs(Math.log(relativeRunTime)) > 0.15
    );
    assert.equal(uneven.length, 0, describe(fleet.values()));
});

Then("the relative run time of the worker that joined is 1", function(this: TestWorld) {
    const harness = getHarness(this);
    const joined = [...harness.workers.keys()].at(-1)!;
    assert.equal(getScheduler(harness).fleet.get(joined)!.relativeRunTime, 1);
});

Then(
    "the median of the observed run times is between {float} and {float} seconds",
    function(this: TestWorld, lowestS: number, highestS: number) {
        const { jobs, runTimePredictor } = getScheduler(getHarness(this));
        const step = [...[...jobs.values()].at(-1)!.occurrences.values()].flat()[0]!;
        const medianS = runTimePredictor.forecast(step).medianMs / MS_PER_SECOND;
        assert.ok(medianS >= lowestS && medianS <= highestS, `The median is ${medianS} s.`);
    },
);

function describe(workers: Iterable<WorkerEntry>): string {
    return [...workers].map(worker => `${worker.id}: ${worker.relativeRunTime}`).join(", ");
}
