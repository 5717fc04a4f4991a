// An idle worker goes down and up under its id. A task starts on it; a second later it is cut off and runs on.
import {
    addWorker,
    recordLogs,
    runCase,
    startDaemon,
    submit,
    waitFor,
    waitUntilReady,
} from "../lib/deployment.mjs";
import { pause } from "../lib/http.mjs";

const JOB = "5c0e7a21d94b36f8";
const TASK = `${JOB}.0.0.0`;
const WORK_MS = 60_000;
/** Age of the worker's first life. The job comes as soon as the second has begun. */
const FIRST_LIFE_MS = 8_000;
/** Time from the start of the run to the cut, and length of the cut. */
const RUN_MS = 1_000;
const CUT_MS = 9_500;
const WATCH_MS = 13_000;

/** Cuts a worker off from the store and from all machines; it runs on. */
function cutOff(worker) {
    const { store, record } = worker;
    record("cut-begins", { worker: worker.id });
    worker.store = { put: () => {} };
    worker.isCut = true;
    setTimeout(() => {
        record("cut-ends", { worker: worker.id });
        worker.store = store;
        worker.isCut = false;
    }, CUT_MS);
}

async function play(deployment, withTrouble) {
    const { workers, record } = deployment;
    for (let number = 1; number <= 7; number++) {
        // The job requires the label of the second rack, which only the last two workers have.
        await addWorker(deployment, number, { workMs: () => WORK_MS, rack: number >= 6 ? "r1-2" : "r1-1" });
    }
    const daemons = [1, 2, 3].map(number => startDaemon(deployment, number));
    await waitUntilReady(daemons);
    await pause(FIRST_LIFE_MS);
    const worker = workers[5];
    if (withTrouble) {
        await worker.crash();
        await worker.start();
    }
    const step = { count: 1, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: WORK_MS, requirements: "r1-2" };
    await submit(deployment, daemons, JOB, { spec: "season", steps: [step] });
    if (!await waitFor(() => worker.running.has(TASK), 3_000, 10)) {
        throw new Error("The task does not run on the worker.");
    }
    await pause(RUN_MS);
    if (withTrouble) {
        cutOff(worker);
    }
    const listRuns = () => workers.filter(({ isUp, running }) => isUp && running.has(TASK));
    let twice;
    await waitFor(
        () => {
            const runs = listRuns();
            twice ??= runs.length > 1
                ? runs.map(({ id, running }) => `run ${running.get(TASK).run} on ${id}`)
                : undefined;
            return false;
        },
        WATCH_MS,
        10,
    );
    record("runs-at-once", { runs: twice ?? [] });
    recordLogs(deployment, /ended without a report|A step is placed|is adopted|is stopped|restarted/);
    return twice && `TWICE: ${twice.join(" and ")} at the same time, both workers up.`;
}

await runCase(import.meta.dirname, play);
