import { Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import type { StepEntry } from "../state/JobEntry.js";
import { createRunTimePredictor } from "./createRunTimePredictor.js";
import type { RunTimePredictor } from "./RunTimePredictor.js";

/** Tolerance of the ratio of the high quantile to the median. */
const HIGH_TOLERANCE = 0.2;

function getPredictor(world: TestWorld): RunTimePredictor {
    if (!world.notes.has("predictor")) {
        world.notes.set("predictor", createRunTimePredictor());
    }
    return world.note<RunTimePredictor>("predictor");
}

/** Creates a step of one task; 'queue q, customer ana, image a, estimate 2000'. */
function parseStep(text: string): StepEntry {
    const values = new Map(text.split(", ").map(part => part.split(" ") as [string, string]));
    return {
        job: { queue: values.get("queue"), job: { customer: values.get("customer") } },
        spec: { image: values.get("image"), estimatedMs: Number(values.get("estimate")), gang: false },
        tasks: [undefined],
    } as unknown as StepEntry;
}

When(
    /^(\d+) runs of "(.+)" take (\d+) ms(?:, every (\d+)(?:rd|th) of them (\d+) ms)?$/,
    function(this: TestWorld, count: string, step: string, runMs: string, every?: string, otherMs?: string) {
        const predictor = getPredictor(this);
        for (let run = 1; run <= Number(count); run++) {
            const isOther = every !== undefined && run % Number(every) === 0;
            predictor.observe(parseStep(step), Number(isOther ? otherMs : runMs), run);
        }
    },
);

When("{int} run each of {int} kinds takes {int} ms", function(
    this: TestWorld,
    runs: number,
    kinds: number,
    runMs: number,
) {
    const predictor = getPredictor(this);
    for (let kind = 0; kind < runs * kinds; kind++) {
        predictor.observe(parseStep(`queue q, customer bob, image k${kind}, estimate 2000`), runMs, kind);
    }
});

Then(
    "the median for {string} is {int} ms, give or take {int} percent",
    function(this: TestWorld, step: string, expectedMs: number, percent: number) {
        const { medianMs } = getPredictor(this).forecast(parseStep(step));
        const error = Math.abs(medianMs / expectedMs - 1);
        assert.ok(error <= percent / 100 + Number.EPSILON * expectedMs, `The median is ${medianMs} ms.`);
    },
);

Then(
    "the high quantile for {string} is {float} times the median",
    function(this: TestWorld, step: string, factor: number) {
        const { medianMs, highMs } = getPredictor(this).forecast(parseStep(step));
        const ratio = highMs / medianMs;
        assert.ok(
            Math.abs(ratio / factor - 1) <= HIGH_TOLERANCE,
            `The high quantile is ${ratio} times the median.`,
        );
    },
);

Then("at most {int} kinds are kept", function(this: TestWorld, count: number) {
    assert.ok(getPredictor(this).exportLevels().kinds.length <= count);
});
