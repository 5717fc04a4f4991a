import type { Job, Progress } from "@balsamward/schema/scheduling";
import { JobSchema, JobState, ProgressSchema } from "@balsamward/schema/scheduling";
import { create, fromBinary, toBinary } from "@bufbuild/protobuf";
import { Given, Then, When } from "@cucumber/cucumber";
import assert from "node:assert/strict";
import type { TestWorld } from "../../../../features/support/TestWorld.js";
import { isSoundProgress } from "../engine/takeover/isSoundProgress.js";
import { composeProgress } from "./composeProgress.js";
import { createJobEntry, getOrAddOccurrence } from "./createJobEntry.js";
import type { EncodedProgress } from "./encodeProgress.js";
import { encodeProgress, MAX_PROGRESS_BYTES } from "./encodeProgress.js";
import type { JobEntry, TaskEntry } from "./JobEntry.js";
import { listSteps } from "./listSteps.js";

const SMALL_VALUE_BYTES = 900;

function createEntry(world: TestWorld, times: number, taskCounts: readonly number[]): JobEntry {
    const steps = taskCounts.map(taskCount => ({ taskCount }));
    const job = create(JobSchema, { id: "00000000000000a1", steps, schedule: { times } });
    const entry = createJobEntry(job, 1, 0);
    entry.state = JobState.RUNNING;
    for (let occurrence = 0; occurrence < times; occurrence++) {
        getOrAddOccurrence(entry, occurrence);
    }
    world.notes.set("entry", entry);
    return entry;
}

function listTasks(entry: JobEntry): readonly TaskEntry[] {
    return listSteps(entry).flatMap(({ tasks }) => tasks);
}

function complete(task: TaskEntry): void {
    task.lastRun = 1;
    task.done = true;
    task.step.doneCount += 1;
}

function restore(job: Job, { value, parts }: EncodedProgress): JobEntry {
    const [message, ...partMessages] = [value, ...parts].map((bytes): Progress =>
        fromBinary(ProgressSchema, bytes)
    );
    assert.ok([message!, ...partMessages].every(record => isSoundProgress(record, job)));
    return createJobEntry(job, 1, 0, { progress: { message: message!, revision: 1 }, parts: partMessages });
}

/** Returns what matters for the rest of a job: of a task that is only done, neither its last run nor a checkpoint. */
function describeTasks(entry: JobEntry): readonly unknown[] {
    return listTasks(entry)
        .filter(task => task.done || task.lastRun > 0)
        .map(({ name, done, failures, lastRun, countedRuns, checkpoint }) =>
            done && failures === 0
                ? { name }
                : { name, done, failures, lastRun, countedRuns: [...countedRuns], checkpoint }
        );
}

Given("a job of {int} occurrences with mixed progress", function(this: TestWorld, times: number) {
    for (const task of listTasks(createEntry(this, times, [40, 9]))) {
        const { occurrence, index } = task.name;
        if (index % 4 === 1) {
            Object.assign(task, { failures: 1, lastRun: 2 });
            task.countedRuns.add(1);
        }
        if (occurrence === 0 || index % 2 === 0) {
            complete(task);
        }
        else {
            task.checkpoint = `saved by ${occurrence}.${index}`;
            task.lastRun += 1;
        }
    }
});

Given("a job of {int} occurrences that are done but one", function(this: TestWorld, times: number) {
    listTasks(createEntry(this, times, [1])).slice(1).forEach(complete);
});

When("an earlier build stores other checkpoints without removing the parts", function(this: TestWorld) {
    const entry = this.note<JobEntry>("entry");
    const { parts } = encodeProgress(entry, { maxBytes: SMALL_VALUE_BYTES });
    listTasks(entry).filter(({ checkpoint }) => checkpoint !== "").forEach(task => {
        task.checkpoint += " again";
    });
    const value = toBinary(ProgressSchema, composeProgress(entry));
    this.notes.set("restored", restore(entry.job, { value, parts, omittedCheckpoints: 0 }));
});

Then(
    "its progress is restored from values of at most {int} bytes",
    function(this: TestWorld, maxBytes: number) {
        const entry = this.note<JobEntry>("entry");
        const encoded = encodeProgress(entry, { maxBytes });
        const sizes = [encoded.value, ...encoded.parts].map(({ length }) => length);
        assert.ok(sizes.every(size => size <= maxBytes && size <= MAX_PROGRESS_BYTES), sizes.join(" "));
        const restored = restore(entry.job, encoded);
        assert.deepEqual(describeTasks(restored), describeTasks(entry));
        assert.deepEqual(
            listSteps(restored).map(({ doneCount }) => doneCount).filter(count => count > 0),
            listSteps(entry).map(({ doneCount }) => doneCount).filter(count => count > 0),
        );
        this.notes.set("encoded", encoded);
    },
);

Then(
    /^it takes (\d+) values? (with|without) done tasks as bits$/,
    function(this: TestWorld, count: string, bits: string) {
        const { value, parts } = this.note<EncodedProgress>("encoded");
        assert.equal(1 + parts.length, Number(count));
        assert.equal(fromBinary(ProgressSchema, value).doneTasks.length > 0, bits === "with");
    },
);

Then("the restored checkpoints are those of the earlier build", function(this: TestWorld) {
    const expected = listTasks(this.note<JobEntry>("entry")).map(({ checkpoint }) => checkpoint);
    assert.deepEqual(
        listTasks(this.note<JobEntry>("restored")).map(({ checkpoint }) => checkpoint),
        expected,
    );
});
