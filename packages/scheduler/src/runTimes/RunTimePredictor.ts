import type { StepEntry } from "../state/JobEntry.js";
import type { RunTimeLevel } from "./RunTimeLevel.js";

/** The expected distribution of run times on a worker of relative run time 1. */
export type RunTimeForecast = {
    /** Run time that half of the runs do not exceed, in milliseconds. */
    readonly medianMs: number;
    /** Run time that 90 % of the runs do not exceed, in milliseconds. */
    readonly highMs: number;
};

/** Predictor of the run times of tasks that learns from complete runs. */
export type RunTimePredictor = {
    /**
     * Records the run time of a complete run in milliseconds, divided by the relative run time of its worker; for a
     * gang, by that of its slowest member.
     */
    readonly observe: (step: StepEntry, runMs: number, now: number) => void;
    /** Returns the expected distribution of the run times of a step's tasks; zero if nothing is known. */
    readonly forecast: (step: StepEntry) => RunTimeForecast;
    /** Returns what was learned. */
    readonly exportLevels: () => LearnedLevels;
    /** Adopts what an earlier owner learned, except for levels of which this predictor has its own evidence. */
    readonly importLevels: (levels: LearnedLevels, now: number) => void;
};

/** Names of the tables of levels, the most general first. A level with few runs falls back to the one before. */
export const LEVEL_NAMES = ["queues", "customers", "kinds"] as const;

/** A table of levels with the keys of the groups of runs that they describe. */
export type LearnedLevels = Readonly<
    Record<(typeof LEVEL_NAMES)[number], readonly (readonly [key: string, level: RunTimeLevel])[]>
>;
