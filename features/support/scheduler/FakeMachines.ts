import type { Machine, MachineState, UpkeepOutcome, WorkerId, WorkerReport } from "@balsamward/scheduler";
import type { FakeWorker } from "@balsamward/stand-ins";
import type { FakeClock } from "../FakeClock.js";

const UPKEEP_MS = 2_000;

/** Options of `FakeMachines`. */
export type FakeMachinesOptions = {
    readonly clock: FakeClock;
    /** The workers that run on the machines; upkeep takes them away. */
    readonly workers: Map<WorkerId, FakeWorker>;
    /** Adds the worker that comes with a machine that is up again. */
    readonly addWorker: (report: WorkerReport) => void;
};

/** Machines that run one worker each, and the orders for their upkeep. */
export class FakeMachines {
    /** Highest number of machines that were down for upkeep at the same time. */
    maxDown = 0;
    /** Machines that went down while tasks ran on them. */
    readonly takenDownWhileBusy: string[] = [];
    /** Machines whose upkeep the platform refuses, as of machines that are not of the wave. */
    readonly refusedMachines = new Set<string>();
    private readonly states = new Map<string, MachineState>();
    /** Machines that have had their upkeep; a further order for one has no effect and succeeds. */
    private readonly maintained = new Set<string>();

    /**
     * Creates an empty set of machines.
     *
     * @param options - The clock, the workers, and how a worker is added.
     */
    constructor(private readonly options: FakeMachinesOptions) {}

    /** Adds a machine that is up. */
    add(name: string): void {
        this.states.set(name, "up");
    }

    /** Lists all machines. */
    list(): readonly Machine[] {
        return [...this.states].map(([name, state]) => ({ name, state }));
    }

    /** Takes a machine down for upkeep; it comes up again with a new worker. */
    beginUpkeep(machine: string): UpkeepOutcome {
        if (this.refusedMachines.has(machine)) {
            return { kind: "not-in-wave" };
        }
        if (this.maintained.has(machine)) {
            return { kind: "begun" };
        }
        const { clock, workers, addWorker } = this.options;
        const worker = [...workers.values()].find(({ report }) => report.machine === machine);
        if (worker === undefined || this.states.get(machine) !== "up") {
            return { kind: "busy" };
        }
        if (worker.running.size > 0) {
            this.takenDownWhileBusy.push(machine);
        }
        this.states.set(machine, "upkeep");
        this.maintained.add(machine);
        workers.delete(worker.id);
        this.maxDown = Math.max(
            this.maxDown,
            [...this.states.values()].filter(state => state === "upkeep").length,
        );
        void clock.pause(UPKEEP_MS).then(() => {
            this.states.set(machine, "up");
            addWorker({ ...worker.report, id: `${worker.id}-next` as WorkerId });
        });
        return { kind: "begun" };
    }
}
