import { encodeEnvelope } from "@balsamward/coordination";
import type { Job } from "@balsamward/schema";
import { CellStateSchema, JobSchema, JobStage, Standing } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { gzipSync } from "node:zlib";
import type { CostCurve } from "./CostCurve.js";
import { createCostCurve } from "./CostCurve.js";

const TASK_COUNTS = [3_000, 6_000, 12_000];
const GANG_MEMBERS = 16;
const REPEATS = 5;

/**
 * Measures how the size and the encoding time of a cell's stored state grow with the number of running tasks.
 *
 * @returns The cost curves.
 */
export function measureCellState(): readonly CostCurve[] {
    const rows = TASK_COUNTS.map(size => ({ size, state: generateCellState(size) }));
    const toPoints = (getCost: (state: ReturnType<typeof generateCellState>) => number) =>
        rows.map(({ size, state }) => ({ x: size, y: getCost(state) }));
    return [
        createCostCurve("cell state, size", "tasks", "B", toPoints(state => encodeState(state).length)),
        createCostCurve(
            "cell state, size if compressed",
            "tasks",
            "B",
            toPoints(state => gzipSync(encodeState(state)).length),
        ),
        createCostCurve("cell state, encoding", "tasks", "ms", toPoints(measureMedianEncodingMs)),
    ];
}

function generateCellState(taskCount: number) {
    const jobs = Array.from({ length: taskCount / GANG_MEMBERS }, (_, index) => generateJob(index));
    return create(CellStateSchema, { cell: "dc0-c0", epoch: 7n, jobs });
}

function generateJob(index: number): Job {
    return create(JobSchema, {
        id: `dc0-c0-${index.toString(16).padStart(20, "0")}`,
        customer: `c${index % 86}`,
        kind: "batch0",
        shape: { members: GANG_MEMBERS, acceleratorsPerMember: 1, adjacency: 2 },
        declaredRunMs: 7_200_000n,
        stage: JobStage.RUNNING,
        standing: Standing.BORROWED,
        grants: Array.from({ length: 2 }, (_, worker) => ({
            worker: `dc0-w${(index * 2 + worker) % 512}`,
            reservation: `dc0-c0-${index.toString(16).padStart(20, "0")}-1`,
            accelerators: 255,
            members: GANG_MEMBERS / 2,
            heldMs: 57_600_000n,
        })),
        attempts: 1,
        submittedAtMs: 1_796_000_000_000n,
        startedAtMs: 1_796_000_001_000n,
    });
}

function encodeState(state: ReturnType<typeof generateCellState>): Uint8Array {
    return encodeEnvelope(CellStateSchema, state, "nonce");
}

/** Returns the median time in milliseconds to encode a cell's state. */
function measureMedianEncodingMs(state: ReturnType<typeof generateCellState>): number {
    const durationsMs: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
        const startedAt = performance.now();
        encodeState(state);
        durationsMs.push(performance.now() - startedAt);
    }
    return durationsMs.toSorted((left, right) => left - right)[Math.floor(REPEATS / 2)]!;
}
