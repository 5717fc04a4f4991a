import { decodeSafely } from "../../_lib/decodeSafely.js";
import { STORE_RETRY_MS } from "../../constants.js";
import type { Machine, UpkeepWave } from "../../ports/MachinePort.js";
import type { WorkerEntry } from "../../state/WorkerEntry.js";
import { mayStopRun } from "../runs/mayStopRun.js";
import { stopRun } from "../runs/stopRun.js";
import type { Scheduler } from "../Scheduler.js";
import { mayHaveUnknownRuns } from "./mayHaveUnknownRuns.js";
import { removeWorker } from "./removeWorker.js";

/** Interval at which new waves are looked for while none is in progress, in milliseconds. */
const WAVE_LIST_INTERVAL_MS = 1_000;

/** Interval at which waves in progress are advanced, in milliseconds. */
const WAVE_ADVANCE_INTERVAL_MS = 300;

/** Time for which a machine counts as down after its upkeep is ordered, whatever its listed state, in milliseconds. */
const ORDER_VISIBILITY_DELAY_MS = 2_000;

/** Share of a wave's duration during which runs that would lose work may finish; afterwards they are stopped. */
const WAIT_FOR_RUNS_SHARE = 0.5;

/** A wave of upkeep and its progress in this term. */
type WaveEntry = {
    readonly wave: UpkeepWave;
    readonly firstSeenAt: number;
    /** Monotonic time of the upkeep order in milliseconds, by machine; negative infinity if the platform refuses it. */
    readonly upkeepOrderedAt: Map<string, number>;
    status: "unknown" | "running" | "completed";
};

/**
 * Carries out the operator's waves of machine upkeep during a term. It takes down no more machines at once than
 * a wave allows, each after the runs on it have ended.
 *
 * @param scheduler - The scheduler.
 */
export async function runUpkeep(scheduler: Scheduler): Promise<void> {
    const { signal } = scheduler.ownership;
    const waves = new Map<number, WaveEntry>();
    const ignoredRevisions = new Set<number>();
    let areMachinesListed = true;
    while (!signal.aborted) {
        await loadNewWaves(scheduler, waves, ignoredRevisions);
        const unfinished = [...waves.values()].filter(entry => entry.status !== "completed");
        if (unfinished.length > 0) {
            const machines = await scheduler.machines.list();
            if (machines === undefined && areMachinesListed) {
                scheduler.log.warn("The machines cannot be listed. Waves of upkeep wait until they can.");
            }
            areMachinesListed = machines !== undefined;
            for (const entry of machines === undefined ? [] : unfinished) {
                await advanceWave(scheduler, entry, machines!);
            }
        }
        await scheduler.pause(
            unfinished.length > 0 ? WAVE_ADVANCE_INTERVAL_MS : WAVE_LIST_INTERVAL_MS,
            signal,
        );
    }
}

async function loadNewWaves(
    scheduler: Scheduler,
    waves: Map<number, WaveEntry>,
    ignoredRevisions: Set<number>,
): Promise<void> {
    const listed = await scheduler.store.list(scheduler.waveRecordFormat.prefix, { stale: true });
    if (listed.isErr()) {
        await scheduler.pause(STORE_RETRY_MS, scheduler.ownership.signal);
        return;
    }
    for (const item of listed.value.items) {
        const wave = decodeSafely(() => scheduler.waveRecordFormat.decode(item.value));
        if (wave === undefined && !ignoredRevisions.has(item.revision)) {
            ignoredRevisions.add(item.revision);
            scheduler.metrics.ignoredRecords.inc({ record: "wave" });
            scheduler.log.warn("A wave of upkeep cannot be decoded and is ignored.", { key: item.key });
        }
        if (wave !== undefined && !waves.has(wave.number)) {
            waves.set(wave.number, {
                wave,
                firstSeenAt: scheduler.clock(),
                upkeepOrderedAt: new Map(),
                status: "unknown",
            });
            scheduler.log.info("A wave of upkeep is found.", { ...wave, machines: wave.machines.length });
        }
    }
}

async function advanceWave(
    scheduler: Scheduler,
    entry: WaveEntry,
    machines: readonly Machine[],
): Promise<void> {
    const { wave, upkeepOrderedAt } = entry;
    if (entry.status === "unknown") {
        const stored = await scheduler.store.read(scheduler.waveRecordFormat.statusKey(wave.number));
        const isCompleted = stored.isOk()
            && Buffer.from(stored.value?.value ?? []).equals(
                Buffer.from(scheduler.waveRecordFormat.encodeStatus("completed")),
            );
        await setStatus(scheduler, entry, isCompleted ? "completed" : "running");
        return;
    }
    const states = new Map(machines.map(machine => [machine.name, machine.state]));
    const pending = wave.machines.filter(machine => !upkeepOrderedAt.has(machine) && states.has(machine));
    const isDown = (machine: string): boolean =>
        states.get(machine) === "upkeep"
        || scheduler.clock() - (upkeepOrderedAt.get(machine) ?? Number.NEGATIVE_INFINITY)
            < ORDER_VISIBILITY_DELAY_MS;
    const downCount = wave.machines.filter(isDown).length;
    if (pending.length === 0) {
        await (downCount === 0 ? setStatus(scheduler, entry, "completed") : undefined);
        return;
    }
    const freeSlots = wave.maxDown - downCount;
    const workers = new Map([...scheduler.fleet.values()].map(worker => [worker.machine, worker]));
    const next = pending
        .filter(machine =>
            states.get(machine) === "up" && !mayRunUnknownTasks(scheduler, workers.get(machine))
        )
        .sort((left, right) => countRuns(workers.get(left)) - countRuns(workers.get(right)))
        .slice(0, Math.max(0, freeSlots));
    for (const machine of next) {
        await advanceMachine(scheduler, entry, machine, workers.get(machine));
    }
}

/** An order for upkeep succeeds without effect if the machine has had it, and then does not end the worker's runs. */
function mayRunUnknownTasks(scheduler: Scheduler, worker: WorkerEntry | undefined): boolean {
    return worker !== undefined && mayHaveUnknownRuns(scheduler, worker.id);
}

function countRuns(worker: WorkerEntry | undefined): number {
    return worker?.runs.size ?? 0;
}

/** Cordons the machine's worker and stops its runs, then orders the upkeep once no run is left. */
async function advanceMachine(
    scheduler: Scheduler,
    entry: WaveEntry,
    machine: string,
    worker: WorkerEntry | undefined,
): Promise<void> {
    if (worker !== undefined) {
        worker.isCordoned = true;
        const waitsForRuns =
            scheduler.clock() - entry.firstSeenAt < entry.wave.durationMs * WAIT_FOR_RUNS_SHARE;
        evictRuns(scheduler, worker, waitsForRuns);
        if (worker.runs.size > 0) {
            return;
        }
    }
    const outcome = await scheduler.machines.beginUpkeep({
        machine,
        wave: entry.wave.number,
        holder: scheduler.node,
        fence: scheduler.ownership.revision,
    });
    scheduler.log.info("The upkeep of a machine is ordered.", {
        machine,
        wave: entry.wave.number,
        outcome: outcome.kind,
    });
    switch (outcome.kind) {
        case "begun":
            entry.upkeepOrderedAt.set(machine, scheduler.clock());
            if (worker !== undefined) {
                removeWorker(scheduler, worker, "upkeep");
            }
            return;
        case "not-in-wave":
            entry.upkeepOrderedAt.set(machine, Number.NEGATIVE_INFINITY);
            if (worker !== undefined) {
                worker.isCordoned = false;
                scheduler.requestPass();
            }
            return;
        case "fenced":
            scheduler.ownership.resign("The platform knows a newer owner.");
            return;
        case "busy":
        case "unclear":
            scheduler.metrics.orderFaults.inc({ order: "upkeep", reason: outcome.kind });
    }
}

/** Stops the runs of a worker; at first only those that lose little: lasting ones and those with checkpoints. */
function evictRuns(scheduler: Scheduler, worker: WorkerEntry, waitsForRuns: boolean): void {
    for (const run of worker.runs) {
        const { lasting, checkpoints } = run.task.step.spec;
        if (mayStopRun(run) && (lasting || checkpoints || !waitsForRuns)) {
            stopRun(scheduler, run, "upkeep");
        }
    }
}

async function setStatus(
    scheduler: Scheduler,
    entry: WaveEntry,
    status: "running" | "completed",
): Promise<void> {
    const { ownership, waveRecordFormat } = scheduler;
    const written = await scheduler.store.commit({
        expect: [{ key: ownership.key, revision: ownership.revision }],
        puts: [{
            key: waveRecordFormat.statusKey(entry.wave.number),
            value: waveRecordFormat.encodeStatus(status),
        }],
        removals: [],
    });
    if (written.isOk()) {
        entry.status = status;
    }
    scheduler.log.info("The status of a wave of upkeep is written.", {
        wave: entry.wave.number,
        state: status,
        result: written.isOk() ? "done" : written.error.kind,
    });
}
