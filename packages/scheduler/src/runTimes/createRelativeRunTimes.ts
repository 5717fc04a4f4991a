import type { MachineEvidence } from "./fitStep.js";
import { fitStep } from "./fitStep.js";
import type { MachineEntry } from "./MachineEntry.js";
import { createMachineEntry } from "./MachineEntry.js";
import type { RunEvidence, StepEvidence, StepPrior } from "./StepEvidence.js";

/** Relative run times of machines, learned by comparing the runs of one step on several of them. */
export type RelativeRunTimes = {
    /** Marks a machine as having a listed worker. */
    readonly list: (machine: string, now: number) => void;
    /** Records what is known of a run's time; replaces what was known of that run. */
    readonly observe: (observation: RunObservation, now: number) => void;
    /** Learns from new runs, and lets old evidence lose weight; returns whether a value may have changed. */
    readonly refit: (now: number) => boolean;
    /** Returns the relative run time of a machine; 1 for one without evidence. */
    readonly get: (machine: string) => number;
    /** Returns what is known of the machines with evidence. */
    readonly exportMachines: () => readonly LearnedMachine[];
    /** Adds what an earlier owner knew, as evidence of the given age in milliseconds. */
    readonly importMachines: (machines: readonly LearnedMachine[], ageMs: number, now: number) => void;
};

/** What is known of a machine. */
export type LearnedMachine = {
    readonly machine: string;
    /** Logarithm of the relative run time. */
    readonly effect: number;
    /** Weight of the evidence, as an inverse variance. */
    readonly weight: number;
};

/** An observed run. */
export type RunObservation = RunEvidence & {
    /** Identifies the step among the observed steps. */
    readonly step: object;
    /** Identifies the run among the runs of the step. */
    readonly run: object;
    readonly machine: string;
    /** Returns the expected run time of the step's tasks; called for the first run of a step. */
    readonly getPrior: () => StepPrior;
};

/** State of the model. */
type Model = {
    readonly machines: Map<string, MachineEntry>;
    /** Recent steps, the one with the oldest evidence first. */
    readonly steps: Map<object, StepEvidence>;
    runCount: number;
    /** Variance of the effects of the machines. */
    machineVariance: number;
    /** Variance of the run times of one step's tasks on equal machines. */
    noiseVariance: number;
    hasChanged: boolean;
    /** Monotonic time of the last refit, in milliseconds. */
    refitAt: number;
};

/** Variance of the effects of machines that is assumed at first; machines differ by half. */
const INITIAL_MACHINE_VARIANCE = 0.4 ** 2;

/** Number of machines that the initial variance counts as. */
const INITIAL_MACHINE_COUNT = 10;

/** Variance of the run times of one step's tasks that is assumed at first; they differ by 15 %. */
const INITIAL_NOISE_VARIANCE = 0.15 ** 2;

/** Number of runs that the initial variance counts as. */
const INITIAL_NOISE_COUNT = 100;

/** Lower bound of both variances. */
const MIN_VARIANCE = 0.02 ** 2;

/** Time after its latest evidence for which a step is refitted, in milliseconds. */
const STEP_RETENTION_MS = 30_000;

/** Maximum number of runs that are refitted, which bounds the time that a refit takes. */
const MAX_RUNS = 2_048;

/** Interval at which evidence loses weight without new runs, in milliseconds. */
const AGING_INTERVAL_MS = 10_000;

/** Time in which settled evidence loses half of its weight, in milliseconds. */
const HALF_LIFE_MS = 60_000;

/** Number of runs that the settled evidence of a machine counts as at most, so that new evidence outweighs it soon. */
const MAX_SETTLED_RUNS = 10;

/** Weight of the evidence below which a machine is not exported; it is as good as unknown. */
const MIN_EXPORTED_WEIGHT = 0.1;

/** Time after which a machine without a listed worker is dropped, in milliseconds. */
const MACHINE_RETENTION_MS = 600_000;

/**
 * Creates the relative run times of machines of which nothing is known.
 *
 * The logarithm of a run time is modelled as the sum of the step's run time on a typical worker, the machine's effect
 * and noise. Recent steps are fitted again with each new evidence, so that early comparisons with machines that were
 * unknown then are corrected. The evidence of older steps is settled: it is kept as a sum for each machine.
 *
 * @returns The relative run times.
 */
export function createRelativeRunTimes(): RelativeRunTimes {
    const model: Model = {
        machines: new Map(),
        steps: new Map(),
        runCount: 0,
        machineVariance: INITIAL_MACHINE_VARIANCE,
        noiseVariance: INITIAL_NOISE_VARIANCE,
        hasChanged: false,
        refitAt: Number.NEGATIVE_INFINITY,
    };
    return {
        list: (machine, now) => {
            getMachine(model, machine, now).lastListedAt = now;
        },
        observe: (observation, now) => observe(model, observation, now),
        refit: now => {
            const isDue = model.hasChanged || now - model.refitAt >= AGING_INTERVAL_MS;
            if (isDue) {
                refit(model, now);
            }
            return isDue;
        },
        get: machine => Math.exp(model.machines.get(machine)?.effect ?? 0),
        exportMachines: () =>
            [...model.machines].filter(([, { totalWeight }]) => totalWeight >= MIN_EXPORTED_WEIGHT)
                .map(([machine, { effect, totalWeight }]) => ({ machine, effect, weight: totalWeight })),
        importMachines: (machines, ageMs, now) => {
            machines.forEach(machine => importMachine(model, machine, ageMs, now));
            refit(model, now);
            model.hasChanged = true;
        },
    };
}

function getMachine(model: Model, name: string, now: number): MachineEntry {
    const known = model.machines.get(name);
    if (known !== undefined) {
        return known;
    }
    const machine = createMachineEntry(model.machineVariance, now);
    model.machines.set(name, machine);
    return machine;
}

function observe(
    model: Model,
    { step: key, run, machine: name, getPrior, logMs, variance }: RunObservation,
    now: number,
): void {
    const machine = getMachine(model, name, now);
    const step = model.steps.get(key) ?? createStep(getPrior());
    // The order of the map is that of the latest evidence.
    model.steps.delete(key);
    model.steps.set(key, step);
    const runs = step.machines.get(machine) ?? new Map<object, RunEvidence>();
    step.machines.set(machine, runs);
    if (!runs.has(run)) {
        step.runCount += 1;
        model.runCount += 1;
    }
    runs.set(run, { logMs, variance });
    step.hasChanged = true;
    step.changedAt = now;
    model.hasChanged = true;
}

function createStep(prior: StepPrior): StepEvidence {
    return { prior, machines: new Map(), runCount: 0, logMs: prior.logMs, hasChanged: true, changedAt: 0 };
}

function refit(model: Model, now: number): void {
    settleOldSteps(model, now);
    for (const [name, machine] of model.machines) {
        ageSettledEvidence(machine, now);
        if (now - machine.lastListedAt > MACHINE_RETENTION_MS) {
            model.machines.delete(name);
        }
    }
    sweepSteps(model);
    model.hasChanged = false;
    model.refitAt = now;
}

/** Settles the evidence of steps without recent evidence, and of the oldest ones if there are too many runs. */
function settleOldSteps(model: Model, now: number): void {
    for (const [key, step] of model.steps) {
        if (now - step.changedAt <= STEP_RETENTION_MS && model.runCount <= MAX_RUNS) {
            return;
        }
        fitStep(step, model.noiseVariance).evidence.forEach(evidence => settle(model, evidence));
        model.steps.delete(key);
        model.runCount -= step.runCount;
    }
}

function settle(model: Model, { machine, effect, variance }: MachineEvidence): void {
    addSettledEvidence(model, machine, 1 / variance, effect / variance);
}

function addSettledEvidence(model: Model, machine: MachineEntry, weight: number, sum: number): void {
    machine.settledWeight += weight;
    machine.settledSum += sum;
    const maxWeight = MAX_SETTLED_RUNS / model.noiseVariance;
    if (machine.settledWeight > maxWeight) {
        machine.settledSum *= maxWeight / machine.settledWeight;
        machine.settledWeight = maxWeight;
    }
}

function importMachine(
    model: Model,
    { machine: name, effect, weight }: LearnedMachine,
    ageMs: number,
    now: number,
): void {
    const machine = getMachine(model, name, now);
    const settledWeight = Math.min(weight, MAX_SETTLED_RUNS / model.noiseVariance) * getAgeFactor(ageMs);
    // The effect was reduced by the prior of the machine.
    const unreducedEffect = effect * (1 / model.machineVariance + weight) / weight;
    addSettledEvidence(model, machine, settledWeight, unreducedEffect * settledWeight);
}

function getAgeFactor(ageMs: number): number {
    return 0.5 ** (Math.max(0, ageMs) / HALF_LIFE_MS);
}

function ageSettledEvidence(machine: MachineEntry, now: number): void {
    const factor = getAgeFactor(now - machine.settledAt);
    machine.settledWeight *= factor;
    machine.settledSum *= factor;
    machine.settledAt = now;
}

/** Fits each step to the effects of the last refit, then the effects of the machines to the evidence. */
function sweepSteps(model: Model): void {
    const machines = [...model.machines.values()];
    for (const machine of machines) {
        machine.totalWeight = machine.settledWeight;
        machine.totalSum = machine.settledSum;
    }
    let squaredDeviations = 0;
    let degreesOfFreedom = 0;
    for (const step of model.steps.values()) {
        const fit = fitStep(step, model.noiseVariance);
        squaredDeviations += fit.squaredDeviations;
        degreesOfFreedom += fit.degreesOfFreedom;
        for (const { machine, effect, variance } of fit.evidence) {
            machine.totalWeight += 1 / variance;
            machine.totalSum += effect / variance;
        }
    }
    updateEffects(model, machines);
    model.noiseVariance = Math.max(
        MIN_VARIANCE,
        (INITIAL_NOISE_COUNT * INITIAL_NOISE_VARIANCE + squaredDeviations)
            / (INITIAL_NOISE_COUNT + degreesOfFreedom),
    );
}

/** Computes the effects from the weighted evidence; their mean over all machines is 0. */
function updateEffects(model: Model, machines: readonly MachineEntry[]): void {
    let sum = 0;
    let confidence = 0;
    let squares = 0;
    let evidentCount = 0;
    for (const machine of machines) {
        machine.variance = 1 / (1 / model.machineVariance + machine.totalWeight);
        machine.effect = machine.totalSum * machine.variance;
        if (machine.totalWeight > 0) {
            sum += machine.effect;
            confidence += 1 - machine.variance / model.machineVariance;
        }
    }
    // Machines without evidence keep the effect 0, so the others are shifted by their confidence.
    const shift = confidence > 0 ? sum / Math.max(confidence, machines.length) : 0;
    for (const machine of machines) {
        if (machine.totalWeight > 0) {
            machine.effect -= shift * (1 - machine.variance / model.machineVariance);
            squares += machine.effect ** 2 + machine.variance;
            evidentCount += 1;
        }
    }
    model.machineVariance = Math.max(
        MIN_VARIANCE,
        (INITIAL_MACHINE_COUNT * INITIAL_MACHINE_VARIANCE + squares) / (INITIAL_MACHINE_COUNT + evidentCount),
    );
}
