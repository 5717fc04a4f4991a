import type { MachineEntry } from "./MachineEntry.js";
import type { RunEvidence, StepEvidence } from "./StepEvidence.js";

/**
 * Deviation of a logarithm of a run time at which its weight is halved. Runs that take several times as long as their
 * siblings lie far above, differences between machines below.
 */
const OUTLIER_DEVIATION = 0.8;

/** Evidence of a step about one machine. */
export type MachineEvidence = {
    readonly machine: MachineEntry;
    /** Logarithm of the machine's relative run time. */
    readonly effect: number;
    /** Variance of the evidence. */
    readonly variance: number;
};

/** Result of fitting a step. */
export type StepFit = {
    readonly evidence: readonly MachineEvidence[];
    /** Sum of the weighted squares of the deviations of single runs. */
    readonly squaredDeviations: number;
    /** Sum of the weights of these deviations, reduced by the fitted values. */
    readonly degreesOfFreedom: number;
};

type MachineMean = {
    readonly machine: MachineEntry;
    /** Logarithm of the run time on the machine. */
    readonly logMs: number;
    readonly variance: number;
    /** Weight of the machine in the step's run time on a typical worker. */
    readonly weight: number;
    /** Share of the evidence that does not consist of outliers. */
    readonly soundShare: number;
};

/**
 * Fits the run time of a step's tasks on a typical worker, and compares each machine with the others.
 *
 * @param step - The step's runs; its fitted run time is updated.
 * @param noiseVariance - Variance of the logarithms of the run times of one step's tasks on equal machines.
 * @returns The evidence about each machine, from the runs on other machines and the expected run time.
 */
export function fitStep(step: StepEvidence, noiseVariance: number): StepFit {
    if (step.hasChanged) {
        step.logMs = findMedian(step);
        step.hasChanged = false;
    }
    let squaredDeviations = 0;
    let robustCount = 0;
    const means: MachineMean[] = [];
    for (const [machine, runs] of step.machines) {
        const center = step.logMs + machine.effect;
        let weight = 0;
        let fullWeight = 0;
        let sum = 0;
        for (const run of runs.values()) {
            const deviation = run.logMs - center;
            const robustWeight = getRobustWeight(deviation);
            const runFullWeight = 1 / (noiseVariance + run.variance);
            const runWeight = robustWeight * runFullWeight;
            fullWeight += runFullWeight;
            weight += runWeight;
            sum += runWeight * run.logMs;
            if (run.variance < noiseVariance) {
                squaredDeviations += robustWeight * deviation * deviation;
                robustCount += robustWeight;
            }
        }
        if (weight > 0) {
            const variance = 1 / weight;
            means.push({
                machine,
                logMs: sum / weight,
                variance,
                weight: 1 / (variance + machine.variance),
                soundShare: weight / fullWeight,
            });
        }
    }
    const evidence = compareMachines(step, means);
    return {
        evidence,
        squaredDeviations,
        degreesOfFreedom: Math.max(0, robustCount - 1),
    };
}

/** Compares each machine with the run time that the prior and the other machines show. */
function compareMachines(step: StepEvidence, means: readonly MachineMean[]): readonly MachineEvidence[] {
    const { prior } = step;
    const priorWeight = Number.isFinite(prior.variance)
        ? getRobustWeight(prior.logMs - step.logMs) / prior.variance
        : 0;
    let weight = priorWeight;
    let sum = priorWeight === 0 ? 0 : priorWeight * prior.logMs;
    for (const mean of means) {
        weight += mean.weight;
        sum += mean.weight * (mean.logMs - mean.machine.effect);
    }
    if (weight > 0) {
        step.logMs = sum / weight;
    }
    const evidence: MachineEvidence[] = [];
    for (const { machine, logMs, variance, weight: ownWeight, soundShare } of means) {
        const otherWeight = weight - ownWeight;
        if (otherWeight > weight * Number.EPSILON) {
            const others = (sum - ownWeight * (logMs - machine.effect)) / otherWeight;
            evidence.push({
                machine,
                effect: logMs - others,
                variance: (variance + 1 / otherWeight) / soundShare,
            });
        }
    }
    return evidence;
}

function getRobustWeight(deviation: number): number {
    const square = deviation * deviation / (OUTLIER_DEVIATION * OUTLIER_DEVIATION);
    return 1 / (1 + square * square);
}

/**
 * Returns the median of the run times, each divided by the relative run time of its machine. Of two values in the
 * middle, it is the lower one, since one of few runs may be a straggler.
 */
function findMedian({ machines, prior }: StepEvidence): number {
    const values: number[] = Number.isFinite(prior.variance) ? [prior.logMs] : [];
    for (const [machine, runs] of machines) {
        for (const { logMs } of runs.values() as Iterable<RunEvidence>) {
            values.push(logMs - machine.effect);
        }
    }
    values.sort((left, right) => left - right);
    return values[(values.length - 1) >> 1]!;
}
