// A task of ten minutes, whose worker reports its progress in whole percent, for 90 s. Nothing is disrupted.
import { addWorker, recordLogs, runCase, startDaemon, submit, waitUntilReady } from "../lib/deployment.mjs";
import { pause } from "../lib/http.mjs";

const JOB = "5c0e7a21d94b36f8";
const WATCH_MS = 90_000;
/** Work of the task with the trouble, and without: 1% takes 6 s, or 2 s. */
const LONG_WORK_MS = 600_000;
const SHORTER_WORK_MS = 200_000;

async function play(deployment, withTrouble) {
    const workMs = withTrouble ? LONG_WORK_MS : SHORTER_WORK_MS;
    for (let number = 1; number <= 7; number++) {
        await addWorker(deployment, number, { workMs: () => workMs });
    }
    const daemons = [1, 2, 3].map(number => startDaemon(deployment, number));
    await waitUntilReady(daemons);
    const step = { count: 1, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: workMs };
    if (!await submit(deployment, daemons, JOB, { spec: "season", steps: [step] })) {
        throw new Error("The job is not accepted.");
    }
    await pause(WATCH_MS);
    const stops = deployment.workers.flatMap(({ stopCount = 0 }) => stopCount).reduce(
        (sum, count) => sum + count,
        0,
    );
    deployment.record("stops", { stops });
    recordLogs(deployment, /is stopped/);
    return stops > 0
        ? `The task was stopped ${stops} times in ${WATCH_MS / 1_000} s and began anew each time.`
        : undefined;
}

await runCase(import.meta.dirname, play);
