// The last heartbeat of a worker is carried out late, after the worker has restarted at another address.
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
import { findDoubles } from "../lib2/findDoubles.mjs";
import { Worker } from "../lib2/Worker.mjs";

const DAEMONS = 3;
const WORKERS = 3;
const WORK_MS = 8_000;
const LATE_MS = 4_200;
const DOWN_MS = 1_000;

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
    return worker;
}

await runCase(new URL("lateHeartbeat.txt", import.meta.url).pathname, async context => {
    const { record, store, hasTrouble, atEnd } = context;
    store.put("op/config", encodeConfiguration());
    const first = await startWorker(context, 1);
    for (let number = 2; number <= WORKERS; number++) {
        await startWorker(context, number);
    }
    const daemons = await createDaemons(DAEMONS, { ...context, store: store.address, machines: "" });
    daemons.forEach(daemon => daemon.start());
    daemons.forEach(daemon => atEnd(() => daemon.end()));
    for (const daemon of daemons) {
        await waitUntil(`${daemon.node} is ready`, () => isReady(daemon));
    }
    await pause(4_000);
    if (hasTrouble) {
        record.note("store leaves a heartbeat unanswered and carries it out late", {
            worker: "i-0000001",
            LATE_MS,
        });
        first.register({ lateMs: LATE_MS });
    }
    await pause(100);
    await first.crash();
    await pause(DOWN_MS);
    await first.restart({ isAtSameAddress: false });
    await pause(2_000);
    const step = { count: 6, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: WORK_MS, antiAffinity: 2 };
    await call(record, daemons[0].front, "POST", "/jobs/000000000000d0b1", {
        body: { spec: "once", steps: [step] },
    });
    await startWorker(context, WORKERS + 1);
    await pause(14_000);
    await call(record, daemons[1].front, "GET", "/jobs/000000000000d0b1");
    return findDoubles(record);
});
