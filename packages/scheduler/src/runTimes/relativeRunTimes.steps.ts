import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { Random } from "../../../../features/support/createRandom.js";
import { createRandom } from "../../../../features/support/createRandom.js";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { RelativeRunTimes } from "./createRelativeRunTimes.js";
import { createRelativeRunTimes } from "./createRelativeRunTimes.js";

type Fleet = {
    readonly relativeRunTimes: RelativeRunTimes;
    readonly random: Random;
    /** Actual relative run times of the machines. */
    readonly factors: number[];
    /** Numbers of the runs that were observed, by machine. */
    readonly observedRuns: Set<object>[];
    /** Whether the first machine reports impossible run times. */
    firstReportsImpossibleTimes: boolean;
    now: number;
};

type SimulatedRun = {
    readonly step: object;
    readonly machine: number;
    readonly startedAt: number;
    readonly runMs: number;
    readonly estimatedMs: number;
    readonly isGang: boolean;
    endsAt: number;
};

const MS_PER_SECOND = 1_000;
const TICK_MS = 50;
const REFIT_MS = 250;
const PROGRESS_INTERVAL_MS = 1_000;
/** Queues of the uneven fleet: steps per second, tasks per step, median run time in ms, tasks placed on one worker. */
const QUEUES = [
    { perSecond: 3.64, tasks: 5, runMs: 2_100, isGang: true, perWorker: 1 },
    { perSecond: 0.689, tasks: 13, runMs: 9_400, isGang: true, perWorker: 1 },
    { perSecond: 1.365, tasks: 39, runMs: 5_200, isGang: false, perWorker: 4 },
] as const;
/** Variance of a step's prior, whose estimate is off by up to half. */
const ESTIMATE_VARIANCE = 0.35 ** 2;

function getFleet(world: TestWorld): Fleet {
    return world.note<Fleet>("machines");
}

function drawNormal(random: Random): number {
    return Math.sqrt(-2 * Math.log(1 - random())) * Math.cos(2 * Math.PI * random());
}

/** Starts a step; its tasks differ by 15 %, three in a hundred take seven times as long, and its estimate is off. */
function startStep(fleet: Fleet, queue: (typeof QUEUES)[number]): readonly SimulatedRun[] {
    const { random, factors } = fleet;
    const medianMs = queue.runMs * Math.exp(0.5 * drawNormal(random));
    const estimatedMs = medianMs * (0.5 + random());
    const first = Math.floor(random() * factors.length);
    const step = {};
    const runs = Array.from({ length: queue.tasks }, (_, index): SimulatedRun => {
        const machine = queue.isGang
            ? Math.floor(random() * factors.length)
            : (first + Math.floor(index / queue.perWorker)) % factors.length;
        const straggling = random() < 0.03 ? 7 : 1;
        const runMs = medianMs * factors[machine]! * Math.exp(0.15 * drawNormal(random)) * straggling;
        const startedAt = fleet.now;
        return {
            step,
            machine,
            startedAt,
            runMs,
            estimatedMs,
            isGang: queue.isGang,
            endsAt: startedAt + runMs,
        };
    });
    if (queue.isGang) {
        const endsAt = Math.max(...runs.map(run => run.endsAt));
        runs.forEach(run => run.endsAt = endsAt);
    }
    return runs;
}

function observe(fleet: Fleet, run: SimulatedRun, runMs: number, percent: number): void {
    const { step, machine, estimatedMs } = run;
    const shownMs = fleet.firstReportsImpossibleTimes && machine === 0
        ? (fleet.random() < 0.5 ? 1 : 86_400_000)
        : runMs;
    fleet.observedRuns[machine]!.add(run);
    fleet.relativeRunTimes.observe({
        step,
        run,
        machine: `m${machine}`,
        logMs: Math.log(shownMs),
        variance: (0.5 / percent) ** 2,
        getPrior: () => ({ logMs: Math.log(estimatedMs), variance: ESTIMATE_VARIANCE }),
    }, fleet.now);
}

function observeProgress(fleet: Fleet, run: SimulatedRun): void {
    const elapsedMs = fleet.now - run.startedAt;
    const percent = Math.floor(100 * elapsedMs / run.runMs);
    if (percent >= 10 && percent < 100) {
        observe(fleet, run, elapsedMs * 100 / percent, percent);
    }
}

function list(fleet: Fleet): void {
    fleet.factors.forEach((_, machine) => fleet.relativeRunTimes.list(`m${machine}`, fleet.now));
}

function replay(fleet: Fleet, durationMs: number): void {
    const endAt = fleet.now + durationMs;
    let runs: SimulatedRun[] = [];
    for (; fleet.now < endAt; fleet.now += TICK_MS) {
        for (const queue of QUEUES) {
            if (fleet.random() < queue.perSecond * TICK_MS / MS_PER_SECOND) {
                runs.push(...startStep(fleet, queue));
            }
        }
        runs.filter(run => run.endsAt <= fleet.now && !run.isGang)
            .forEach(run => observe(fleet, run, run.runMs, 100));
        runs = runs.filter(run => run.endsAt > fleet.now);
        runs.filter(({ startedAt, machine }) =>
            (fleet.now - startedAt + machine % 10 * TICK_MS) % PROGRESS_INTERVAL_MS < TICK_MS
        ).forEach(run => observeProgress(fleet, run));
        if (fleet.now % REFIT_MS === 0) {
            list(fleet);
            fleet.relativeRunTimes.refit(fleet.now);
        }
    }
}

function getLearned(fleet: Fleet): readonly number[] {
    return fleet.factors.map((_, machine) => fleet.relativeRunTimes.get(`m${machine}`));
}

/** Asserts that the group with the nearest relative run time is that of the machine. */
function assertGroups(fleet: Fleet, percent: number, minRuns: number): void {
    const { factors, observedRuns } = fleet;
    const groups = [...new Set(factors)];
    const learned = getLearned(fleet);
    const known = factors.map((_, machine) => machine).filter(machine =>
        observedRuns[machine]!.size >= minRuns
    );
    const right = known.filter(machine => {
        const distances = groups.map(factor => Math.abs(Math.log(learned[machine]! / factor)));
        return groups[distances.indexOf(Math.min(...distances))] === factors[machine];
    });
    assert.ok(known.length > factors.length / 10, `${known.length} machines are known.`);
    assert.ok(right.length >= known.length * percent / 100, `${right.length} of ${known.length} are right.`);
}

Given(
    /^(\d+) machines that take (.+) times the usual run time$/,
    function(this: TestWorld, count: string, factors: string) {
        const groups = factors.split(", ").map(Number);
        const fleet: Fleet = {
            relativeRunTimes: createRelativeRunTimes(),
            random: createRandom(1),
            factors: Array.from({ length: Number(count) }, (_, machine) => groups[machine % groups.length]!),
            observedRuns: Array.from({ length: Number(count) }, () => new Set()),
            firstReportsImpossibleTimes: false,
            now: 0,
        };
        list(fleet);
        this.notes.set("machines", fleet);
    },
);

When(
    "the load of the uneven fleet is replayed for {int} seconds",
    function(this: TestWorld, seconds: number) {
        replay(getFleet(this), seconds * MS_PER_SECOND);
    },
);

When(
    "{int} wide steps have run on all machines, and none of their runs has ended",
    function(this: TestWorld, count: number) {
        const fleet = getFleet(this);
        const queue = { ...QUEUES[2], perWorker: 1 } as unknown as (typeof QUEUES)[2];
        const runs = Array.from({ length: count }, () => startStep(fleet, queue)).flat();
        fleet.now += Math.min(...runs.map(run => run.runMs)) * 0.9;
        runs.forEach(run => observeProgress(fleet, run));
        fleet.relativeRunTimes.refit(fleet.now);
    },
);

When("all machines become equal", function(this: TestWorld) {
    getFleet(this).factors.fill(1);
});

When("{int} minutes pass without a run", function(this: TestWorld, minutes: number) {
    const fleet = getFleet(this);
    fleet.now += minutes * 60 * MS_PER_SECOND;
    list(fleet);
    fleet.relativeRunTimes.refit(fleet.now);
});

When("the first machine shows run times of a millisecond and of a day by turns", function(this: TestWorld) {
    getFleet(this).firstReportsImpossibleTimes = true;
});

When("the runs of a step on one machine are recorded", function(this: TestWorld) {
    const fleet = getFleet(this);
    const [run] = startStep(fleet, QUEUES[0]);
    for (let index = 0; index < 5; index++) {
        observe(fleet, { ...run!, machine: 1 }, run!.runMs, 100);
    }
    fleet.relativeRunTimes.refit(fleet.now);
});

Then(
    "{int} percent of the machines with at least {int} runs are in the right group",
    function(this: TestWorld, percent: number, minRuns: number) {
        assertGroups(getFleet(this), percent, minRuns);
    },
);

Then("{int} percent of all machines are in the right group", function(this: TestWorld, percent: number) {
    assertGroups(getFleet(this), percent, 0);
});

Then("the mean of all machines is 1", function(this: TestWorld) {
    const logarithms = getLearned(getFleet(this)).map(Math.log);
    const mean = logarithms.reduce((sum, value) => sum + value, 0) / logarithms.length;
    assert.ok(Math.abs(mean) < 0.02, `The mean is ${Math.exp(mean)}.`);
});

Then(
    "the relative run times of all machines differ from 1 by at most {int} percent",
    function(this: TestWorld, percent: number) {
        const logarithms = getLearned(getFleet(this)).map(value => Math.abs(Math.log(value)));
        const largest = Math.exp(Math.max(...logarithms)) - 1;
        assert.ok(largest <= percent / 100, `One differs by ${largest * 100} percent.`);
    },
);
