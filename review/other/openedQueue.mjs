// A queue is opened: one version removes its route, the next adds it again as public. Calls then carry no key.
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
/** Time between the two versions, and from the second to the calls: `configApplyMs` and `visible_ms` are over then. */
const GAP_MS = 1_000;
const WAIT_MS = 6_000;
/** `cancel_ms` and `stopTimeoutMs`, after which a cancelled task has to be gone. */
const CANCEL_MS = 4_000;

function writeConfiguration({ store, record }, version, routes) {
    store.put("op/config", { ...CONFIGURATION, version, routes });
    record("operator-writes", { version, routes });
}

async function play(deployment, withTrouble) {
    const { workers } = deployment;
    for (let number = 1; number <= 7; number++) {
        await addWorker(deployment, number, { workMs: () => Infinity });
    }
    const daemons = [1, 2, 3].map(number => startDaemon(deployment, number));
    await waitUntilReady(daemons);
    const step = { count: 1, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: 1_000, longRunning: true };
    const job = { spec: "season", steps: [step] };
    if (!await submit(deployment, daemons, JOB, job)) {
        throw new Error("The job is not accepted.");
    }
    const isRunning = () => workers.some(({ running }) => running.size > 0);
    if (!await waitFor(isRunning, 5_000)) {
        throw new Error("The task does not run.");
    }
    await pause(4_000);
    if (withTrouble) {
        writeConfiguration(deployment, 4, []);
        await pause(GAP_MS);
        writeConfiguration(deployment, 7, [{ ...CONFIGURATION.routes[0], public: true }]);
    }
    await pause(WAIT_MS);
    const options = withTrouble ? { key: "" } : {};
    const answers = [];
    for (const daemon of daemons) {
        answers.push(await callDaemon(deployment, daemon, "GET", JOB, undefined, options));
    }
    const cancellation = withTrouble
        ? await callDaemon(deployment, daemons[0], "DELETE", JOB, undefined, options)
        : undefined;
    await pause(CANCEL_MS);
    recordLogs(deployment, /A configuration is in force/);
    const statuses = answers.map(({ status }) => status);
    return statuses.includes(410) && isRunning()
        ? `LOST: GET for an accepted job that runs and that nobody has cancelled is answered ${
            statuses.join(", ")
        }. A DELETE is then answered ${cancellation?.status}, and the task runs on.`
        : undefined;
}

await runCase(import.meta.dirname, play);
