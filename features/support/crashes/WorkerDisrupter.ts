import type { FakeWorker } from "@balsamward/stand-ins";
import type { Random } from "../createRandom.js";
import { choose } from "../createRandom.js";
import type { SchedulerTestHarness } from "../SchedulerTestHarness.js";

/** Disruptions of workers that no task has caused. */
export type WorkerDisruption =
    /** A random fifth of the workers crashes together again and again. */
    | "storms"
    /** Single random workers crash. */
    | "lone-crashes"
    /** All workers of a rack crash together, again and again. */
    | "racks"
    /** A few machines crash again and again; some come back with a worker under a new id. */
    | "flapping"
    /** Workers are cut off, and half of them crash behind the cut. */
    | "cuts";

/** A machine that crashes again and again. */
type FlappingMachine = {
    readonly name: string;
    readonly isReplaced: boolean;
    /** Time of the next crash, in milliseconds. */
    crashAt: number;
};

/** Something that happens to a worker later. */
type Event = { readonly at: number; readonly act: () => void };

const STORM_SHARE = 0.2;
const MIN_STORM_INTERVAL_MS = 2_000;
const MAX_STORM_INTERVAL_MS = 5_000;
const MIN_LONE_INTERVAL_MS = 500;
const MAX_LONE_INTERVAL_MS = 3_000;
const MIN_RACK_INTERVAL_MS = 3_000;
const MAX_RACK_INTERVAL_MS = 8_000;
const MIN_FLAPPING_INTERVAL_MS = 2_000;
const MAX_FLAPPING_INTERVAL_MS = 5_000;
const MAX_FLAPPING_MACHINES = 3;
const MIN_CUT_MS = 2_000;
const MAX_CUT_MS = 20_000;
const MIN_DOWNTIME_MS = 1_000;
const MAX_DOWNTIME_MS = 5_000;
const MAX_FLAPPING_DOWNTIME_MS = 1_800;

/** Longest time between the crashes of workers that crash together, in the seeds in which they are spread. */
const MAX_SPREAD_MS = 1_000;

/** Crashes workers and cuts them off, as a seeded generator chooses. */
export class WorkerDisrupter {
    /** Whether a worker that crashes now comes back under a new id on its machine. */
    isReplacing = false;
    private readonly spreadMs: number;
    /** Rack of which all workers crash; `undefined` if it is chosen anew for each crash. */
    private readonly rack: string | undefined;
    private readonly flappingMachines: readonly FlappingMachine[];
    private events: readonly Event[] = [];
    private nextAt = 0;

    /**
     * Chooses what is disrupted.
     *
     * @param harness - The harness with the workers.
     * @param kind - The kind of disruption.
     * @param random - The generator.
     */
    constructor(
        private readonly harness: SchedulerTestHarness,
        private readonly kind: WorkerDisruption,
        private readonly random: Random,
    ) {
        this.spreadMs = random() < 0.5 ? 0 : MAX_SPREAD_MS;
        const { rack } = choose(this.listUpWorkers(), random).report;
        this.rack = random() < 0.5 ? rack : undefined;
        const machines = this.listUpWorkers().map(({ report }) => report.machine);
        const flappingCount = 1 + Math.floor(random() * MAX_FLAPPING_MACHINES);
        this.flappingMachines = Array.from({ length: flappingCount }, () => ({
            name: choose(machines, random),
            isReplaced: random() < 0.5,
            crashAt: 0,
        }));
    }

    /** Lets happen what is due. */
    advance(): void {
        const { now } = this.harness.clock;
        const due = this.events.filter(({ at }) => at <= now);
        this.events = this.events.filter(({ at }) => at > now);
        due.forEach(({ act }) => act());
        if (this.kind === "flapping") {
            this.flappingMachines.filter(({ crashAt }) => crashAt <= now).forEach(machine =>
                this.flap(machine)
            );
        }
        else if (this.nextAt <= now) {
            this.nextAt = now + this.disrupt(this.kind);
        }
    }

    /** Ends all disruptions; workers that are down come back after their downtime. */
    end(): void {
        this.events = [];
        this.harness.workers.forEach(worker => this.reconnect(worker));
    }

    /** Disrupts workers once, and returns the time until the next disruption, in milliseconds. */
    private disrupt(kind: Exclude<WorkerDisruption, "flapping">): number {
        switch (kind) {
            case "storms":
                this.crashTogether(this.listUpWorkers().filter(() => this.random() < STORM_SHARE));
                return this.between(MIN_STORM_INTERVAL_MS, MAX_STORM_INTERVAL_MS);
            case "lone-crashes":
                this.crashTogether(this.chooseWorkers(1));
                return this.between(MIN_LONE_INTERVAL_MS, MAX_LONE_INTERVAL_MS);
            case "racks": {
                const rack = this.rack ?? this.chooseWorkers(1)[0]?.report.rack;
                this.crashTogether(this.listUpWorkers().filter(({ report }) => report.rack === rack));
                return this.between(MIN_RACK_INTERVAL_MS, MAX_RACK_INTERVAL_MS);
            }
            case "cuts": {
                const maxCount = this.harness.workers.size * STORM_SHARE;
                this.chooseWorkers(1 + Math.floor(this.random() * maxCount)).forEach(worker =>
                    this.cut(worker)
                );
                return this.between(MIN_STORM_INTERVAL_MS, MAX_STORM_INTERVAL_MS);
            }
        }
    }

    private flap(machine: FlappingMachine): void {
        const { clock, workers } = this.harness;
        machine.crashAt = clock.now + this.between(MIN_FLAPPING_INTERVAL_MS, MAX_FLAPPING_INTERVAL_MS);
        const worker = [...workers.values()].find(({ report, isDown }) =>
            report.machine === machine.name && !isDown
        );
        if (worker !== undefined) {
            this.isReplacing = machine.isReplaced;
            this.crash(worker, MAX_FLAPPING_DOWNTIME_MS);
            this.isReplacing = false;
        }
    }

    /** Crashes workers at once, or within a second. */
    private crashTogether(workers: readonly FakeWorker[]): void {
        for (const worker of workers) {
            this.schedule(this.random() * this.spreadMs, () => this.crash(worker, MAX_DOWNTIME_MS));
        }
    }

    /** Cuts a worker off from the owner, and at times from the platform as well; it may crash meanwhile. */
    private cut(worker: FakeWorker): void {
        const cutMs = this.between(MIN_CUT_MS, MAX_CUT_MS);
        worker.isDisconnected = true;
        if (this.random() < 0.5) {
            this.harness.unlistedWorkers.add(worker.id);
        }
        if (this.random() < 0.5) {
            this.schedule(this.random() * cutMs, () => this.crash(worker, MAX_DOWNTIME_MS));
        }
        this.schedule(cutMs, () => this.reconnect(worker));
    }

    private reconnect(worker: FakeWorker): void {
        worker.isDisconnected = false;
        this.harness.unlistedWorkers.delete(worker.id);
    }

    private crash(worker: FakeWorker, maxDowntimeMs: number): void {
        if (!worker.isDown) {
            worker.downtimeMs = this.between(MIN_DOWNTIME_MS, maxDowntimeMs);
            worker.crash();
        }
    }

    private schedule(delayMs: number, act: () => void): void {
        if (delayMs === 0) {
            act();
            return;
        }
        this.events = [...this.events, { at: this.harness.clock.now + delayMs, act }];
    }

    private chooseWorkers(count: number): readonly FakeWorker[] {
        const candidates = [...this.listUpWorkers().filter(({ isDisconnected }) => !isDisconnected)];
        const chosen: FakeWorker[] = [];
        while (chosen.length < count && candidates.length > 0) {
            chosen.push(...candidates.splice(Math.floor(this.random() * candidates.length), 1));
        }
        return chosen;
    }

    private listUpWorkers(): readonly FakeWorker[] {
        return [...this.harness.workers.values()].filter(({ isDown }) => !isDown);
    }

    private between(minMs: number, maxMs: number): number {
        return minMs + this.random() * (maxMs - minMs);
    }
}
