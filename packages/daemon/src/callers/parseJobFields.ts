import type { GangShape } from "@balsamward/placement";
import { Adjacency, Reason } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { BodyFields } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";

/** The validated fields of a submitted job. */
export type JobFields = {
    readonly shape: GangShape;
    /** Run time in milliseconds that the caller declares. */
    readonly runMs: number;
};

const adjacencies: ReadonlyMap<unknown, Adjacency> = new Map([
    ["worker", Adjacency.WORKER],
    ["rack", Adjacency.RACK],
    ["data-centre", Adjacency.DATA_CENTRE],
]);

/**
 * Validates the fields of a submitted job.
 *
 * @param fields - The fields of the request's body.
 * @returns The job's fields, or a refusal that names the first invalid field.
 *
 * @example
 * parseJobFields({ members: 2, accelerators_per_member: 4, adjacency: "rack", run_ms: 60_000 });
 */
export function parseJobFields(fields: BodyFields): Result<JobFields, Reply> {
    const members = readPositiveInteger(fields, "members", 256);
    const acceleratorsPerMember = readPositiveInteger(fields, "accelerators_per_member", 16);
    const runMs = readPositiveInteger(fields, "run_ms", 2_592_000_000);
    const adjacency = adjacencies.get(fields["adjacency"] ?? "data-centre");
    if (members === undefined) {
        return refuseField("members", "a whole number from 1 to 256");
    }
    if (acceleratorsPerMember === undefined) {
        return refuseField("accelerators_per_member", "a whole number from 1 to 16");
    }
    if (runMs === undefined) {
        return refuseField("run_ms", "a whole number of milliseconds, at most 30 days");
    }
    if (adjacency === undefined) {
        return refuseField("adjacency", "'worker', 'rack' or 'data-centre'");
    }
    return ok({ shape: { members, acceleratorsPerMember, adjacency }, runMs });
}

function readPositiveInteger(fields: BodyFields, name: string, max: number): number | undefined {
    const value = fields[name];
    return typeof value === "number" && Number.isInteger(value) && value >= 1 && value <= max
        ? value
        : undefined;
}

function refuseField(name: string, expected: string): Result<never, Reply> {
    return err(refuse(Reason.BAD_INPUT, `The field '${name}' is not valid. Send ${expected}.`));
}
