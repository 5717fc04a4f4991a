// A version of the configuration removes a route and adds another for the same host, prefix and service. A job that was
// accepted before has a second step left.
import {
    addWorker,
    callDaemon,
    CONFIGURATION,
    recordLogs,
    runCase,
    startDaemon,
    submit,
    waitFor,
    waitUntilReady,
} from "../lib/deployment.mjs";
import { pause } from "../lib/http.mjs";

const JOB = "5c0e7a21d94b36f8";
const WORK_MS = 3_000;
/** Time after the first step in which the second one has to run: `finish_s` and the 3 s of the rule, with a margin. */
const WAIT_MS = 20_000;

function replaceRoute({ store, record }) {
    const [route] = CONFIGURATION.routes;
    const configuration = { ...CONFIGURATION, version: 4, routes: [{ ...route, name: "walkin-2" }] };
    store.put("op/config", configuration);
    record("operator-writes", { version: configuration.version, routes: configuration.routes });
}

async function play(deployment, withTrouble) {
    const workers = [];
    for (const number of [1, 2, 3, 4]) {
        workers.push(await addWorker(deployment, number, { workMs: () => WORK_MS }));
    }
    const daemons = [1, 2, 3].map(number => startDaemon(deployment, number));
    await waitUntilReady(daemons);
    const step = { count: 2, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: WORK_MS };
    const job = { spec: "season", steps: [step, { ...step, after: [0] }] };
    if (!await submit(deployment, daemons, JOB, job)) {
        throw new Error("The job is not accepted.");
    }
    const isRunning = task => workers.some(({ running }) => running.has(task));
    if (!await waitFor(() => isRunning(`${JOB}.0.0.0`), 5_000)) {
        throw new Error("The first step does not run.");
    }
    await pause(WORK_MS / 3);
    if (withTrouble) {
        replaceRoute(deployment);
    }
    const hasRun = await waitFor(() => isRunning(`${JOB}.0.1.0`), WORK_MS + WAIT_MS);
    await (hasRun ? pause(WORK_MS + 1_000) : undefined);
    const states = [];
    for (const daemon of daemons) {
        states.push((await callDaemon(deployment, daemon, "GET", JOB)).body?.state);
    }
    recordLogs(deployment, /A configuration is in force|A step is placed|A run ends/);
    return hasRun
        ? undefined
        : `LOST: the second step has not run for ${WAIT_MS / 1_000} s on four idle workers of 8 GPUs; `
            + `the job is shown as ${states.join(", ")}.`;
}

await runCase(import.meta.dirname, play);
