// A job whose acceptance was left open (504) is cancelled; the acknowledged cancellation must hold.
import {
    call,
    createDaemons,
    encodeConfiguration,
    isReady,
    pause,
    runCase,
    SERVICE,
    waitUntil,
} from "../lib2/Case.mjs";
import { Worker } from "../lib2/Worker.mjs";

const DAEMONS = 3;
const WORKERS = 4;
const CANCEL_MS = 3_000;
/** Time without disruption after which the store counts as stable, and the machines as in touch again. */
const STABLE_MS = 3_000;
const DUE_AFTER_MS = 16_000;
const OTHER_JOBS = 16;
/** Times after which the unanswered writes are carried out; the pages allow 1 to 6 s. */
const LATE_MS = [5_500, 5_000, 4_500, 4_000];
const JOB = "c0ffee0000000001";

function createStep() {
    return { count: 1, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: 500 };
}

async function startWorkers({ record, store, network, atEnd }) {
    for (let number = 1; number <= WORKERS; number++) {
        const worker = new Worker({
            id: `i-000000${number}`,
            machine: `m-0000${number}`,
            host: `127.${network}.2.${number}`,
            service: SERVICE,
            zone: "recife-a",
            capacity: { cpu: 32_000, memMb: 131_072, gpus: 8 },
            labels: ["a", "r1-1"],
            maxHoldMs: 10_000,
            workMsOf: () => 500,
            store,
            record,
        });
        await worker.start();
        atEnd(() => worker.leave());
    }
}

/** Leaves the answers to the writes of one job away for a while, and carries them out late; returns when that ends. */
function loseWrites({ record, store }) {
    let lost = 0;
    const disruption = { endsAt: 0 };
    store.disturb = ({ method, url, body }) => {
        const isOfJob = method === "POST" && url.pathname === "/v1/kv-txn"
            && (body.puts ?? []).some(({ key }) => key.includes(JOB));
        if (!isOfJob || lost >= LATE_MS.length) {
            return undefined;
        }
        const afterMs = LATE_MS[lost];
        lost += 1;
        disruption.endsAt = Math.max(disruption.endsAt, record.now() + afterMs);
        record.note("store leaves a write unanswered and carries it out late", { number: lost, afterMs });
        return { kind: "late", afterMs };
    };
    return disruption;
}

/** Other jobs in the same seconds, whose writes are answered. */
async function sendOtherJobs(record, daemons) {
    for (let number = 0; number < OTHER_JOBS; number++) {
        const id = (0x1000 + number).toString(16).padStart(16, "0");
        const to = daemons[number % DAEMONS].front;
        void call(record, to, "POST", `/jobs/${id}`, { body: { spec: "other", steps: [createStep()] } });
        await pause(120);
    }
}

async function cancel(record, daemon) {
    for (let attempt = 0; attempt < 5; attempt++) {
        const answer = await call(record, daemon.front, "DELETE", `/jobs/${JOB}`);
        if (answer.status === 200 || answer.status === 410) {
            return answer;
        }
        await pause(300);
    }
    throw new Error("The cancellation is not acknowledged.");
}

await runCase(new URL("record.txt", import.meta.url).pathname, async context => {
    const { record, store, hasTrouble, atEnd } = context;
    store.put("op/config", encodeConfiguration());
    await startWorkers(context);
    const daemons = await createDaemons(DAEMONS, { ...context, store: store.address, machines: "" });
    daemons.forEach(daemon => daemon.start());
    daemons.forEach(daemon => atEnd(() => daemon.end()));
    for (const daemon of daemons) {
        await waitUntil(`${daemon.node} is ready`, () => isReady(daemon));
    }
    await pause(4_000);
    const disruption = hasTrouble ? loseWrites(context) : { endsAt: 0 };
    const others = sendOtherJobs(record, daemons);
    const body = {
        spec: "to be cancelled",
        times: 1,
        firstRunMs: Date.now() + DUE_AFTER_MS,
        intervalMs: 1_000,
        steps: [createStep()],
    };
    const submitted = await call(record, daemons[0].front, "POST", `/jobs/${JOB}`, { body });
    const cancelled = await cancel(record, daemons[1]);
    await others;
    await pause(DUE_AFTER_MS + 4_000);
    await call(record, daemons[2].front, "GET", `/jobs/${JOB}`);
    record.note("summary", { submitted: submitted.status, cancelled: cancelled.status });
    return record.starts
        .filter(({ task, at }) =>
            task.startsWith(JOB) && at > cancelled.at + CANCEL_MS
            && at > disruption.endsAt + STABLE_MS
        )
        .map(({ task, run, at }) =>
            `UNASKED: task ${task} run ${run} starts ${
                Math.round(at - cancelled.at)
            } ms after the cancelling was acknowledged with ${cancelled.status}`
        );
});
