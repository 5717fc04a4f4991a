// A wave of upkeep allows one machine at a time. Orders for the first machine get no answer and are carried out later.
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
import { createMachineControl } from "../lib/machines.mjs";

const JOB = "5c0e7a21d94b36f8";
const WAVE = { wave: 1, machines: ["m-1", "m-2", "m-3"], durationS: 40, maxCount: 1 };
const MAINTENANCE_MS = 2_000;
const JOB_MS = 3_500;
/** Times after which the first two orders for `m-2` are carried out; `applied_late` names 2 to 12 s. */
const DELAYS_MS = [5_000, 8_000];

async function play(deployment, withTrouble) {
    const { store, workers, record } = deployment;
    for (let number = 1; number <= 7; number++) {
        await addWorker(deployment, number, { workMs: () => JOB_MS });
    }
    const control = createMachineControl({
        ...deployment,
        wave: WAVE,
        maintenanceMs: MAINTENANCE_MS,
        delayOrder: (machine, number) => withTrouble && machine === "m-2" ? DELAYS_MS[number - 1] : undefined,
    });
    deployment.handleMachineCall = control.handle;
    const daemons = [1, 2, 3].map(number => startDaemon(deployment, number));
    await waitUntilReady(daemons);
    const step = { count: 1, cpu: 1_000, memMb: 256, gpus: 1, estRuntimeMs: JOB_MS };
    await submit(deployment, daemons, JOB, { spec: "season", steps: [step] });
    await waitFor(() => workers.some(({ running }) => running.size > 0), 5_000);
    store.put("op/wave/1", WAVE);
    record("operator-writes", WAVE);
    const isCompleted = () => (store.read("status/wave/1") ?? "").includes("completed");
    await waitFor(isCompleted, 45_000);
    await pause(1_000);
    record("wave", { status: store.read("status/wave/1"), done: [...control.done] });
    recordLogs(deployment, /upkeep/);
    const [excess] = control.excesses;
    return excess
        && `LIMIT: the upkeep of ${excess.machine} begins while ${
                excess.alsoDown.join(", ")
            } is down for its own; `
            + `the wave allows ${WAVE.maxCount}.`;
}

await runCase(import.meta.dirname, play);
