// A job whose spec begins with a byte order mark is accepted; its owner is killed before the job is due.
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
const WORK_MS = 500;
const DUE_AFTER_MS = 8_000;
const JOB = "0000000000b0b0b0";
/** A text file with a byte order mark, as many editors and spreadsheets write it. */
const SPEC = "\ufefflane;hold\n7;2026-12-07\n";

async function startWorker({ record, store, network, atEnd }, number) {
    const worker = new Worker({
        id: `i-000000${number}`,
        machine: `m-0000${number}`,
        host: `127.${network}.2.${number}`,
        service: SERVICE,
        zone: "recife-a",
        capacity: { cpu: 32_000, memMb: 131_072, gpus: 8 },
        labels: ["a", "r1-1"],
        maxHoldMs: 10_000,
        workMsOf: () => WORK_MS,
        store,
        record,
    });
    await worker.start();
    atEnd(() => worker.crash());
}

function findOwner(store, daemons) {
    return daemons.find(({ node }) => store.read("balsamward/owner")?.includes(node));
}

await runCase(new URL("record.txt", import.meta.url).pathname, async context => {
    const { record, store, hasTrouble, atEnd } = context;
    store.put("op/config", encodeConfiguration());
    await startWorker(context, 1);
    await startWorker(context, 2);
    const daemons = await createDaemons(DAEMONS, { ...context, store: store.address, machines: "" });
    daemons.forEach(daemon => daemon.start());
    daemons.forEach(daemon => atEnd(() => daemon.end()));
    for (const daemon of daemons) {
        await waitUntil(`${daemon.node} is ready`, () => isReady(daemon));
    }
    await pause(4_000);
    const owner = findOwner(store, daemons);
    const step = { count: 2, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: WORK_MS };
    const body = {
        spec: SPEC,
        times: 1,
        firstRunMs: Date.now() + DUE_AFTER_MS,
        intervalMs: 1_000,
        steps: [step],
    };
    await call(record, owner.front, "POST", `/jobs/${JOB}`, { body });
    record.note("the client's spec", {
        spec: JSON.stringify(SPEC),
        codes: [...SPEC].slice(0, 5).map(c => c.codePointAt(0)),
    });
    await pause(1_000);
    if (hasTrouble) {
        owner.signal("SIGKILL");
    }
    await pause(DUE_AFTER_MS + 3_000);
    const starts = record.starts.filter(({ task }) => task.startsWith(JOB));
    if (starts.length === 0) {
        throw new Error("The job has not begun.");
    }
    return starts.filter(({ spec }) => spec !== SPEC).map(({ task, spec }) =>
        `UNASKED: task ${task} is started with another spec: ${spec.length} characters in place of ${SPEC.length}`
    );
});
