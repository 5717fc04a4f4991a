import { encodeEnvelope } from "@balsamward/coordination";
import type { Job } from "@balsamward/schema";
import { CellStateSchema, JobSchema, JobStage, Standing } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import { gzipSync } from "node:zlib";
import type { Slope } from "./Slope.js";
import { createSlope } from "./Slope.js";

const TASK_COUNTS = [3_000, 6_000, 12_000];
const GANG_MEMBERS = 16;
const REPEATS = 5;

/**
 * Measures the durable state of a cell by its running tasks.
 *
 * @returns The slopes.
 */
export function measureState(): readonly Slope[] {
    const rows = TASK_COUNTS.map(size => ({ size, state: composeState(size) }));
    const points = (of: (state: ReturnType<typeof composeState>) => number) =>
        rows.map(({ size, state }) => ({ x: size, y: of(state) }));
    return [
        createSlope("cell state, size", "tasks", "B", points(state => seal(state).length)),
        createSlope(
            "cell state, size if compressed",
            "tasks",
            "B",
            points(state => gzipSync(seal(state)).length),
        ),
        createSlope("cell state, encoding", "tasks", "ms", points(time)),
    ];
}

function composeState(tasks: number) {
    const jobs = Array.from({ length: tasks / GANG_MEMBERS }, (_, index) => composeJob(index));
    return create(CellStateSchema, { cell: "dc0-c0", epoch: 7n, jobs });
}

function composeJob(index: number): Job {
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

function seal(state: ReturnType<typeof composeState>): Uint8Array {
    return encodeEnvelope(CellStateSchema, state, "nonce");
}

/** Returns the median time of an encoding in milliseconds. */
function time(state: ReturnType<typeof composeState>): number {
    const times: number[] = [];
    for (let repeat = 0; repeat < REPEATS; repeat++) {
        const startedAt = performance.now();
        seal(state);
        times.push(performance.now() - startedAt);
    }
    return times.toSorted((left, right) => left - right)[Math.floor(REPEATS / 2)]!;
}
