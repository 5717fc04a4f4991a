import { countAccelerators } from "@balsamward/placement";
import type { CellId, CellSummary, CustomerId, Job, Kind } from "@balsamward/schema";
import { JobSchema, JobStage, Reason, Work } from "@balsamward/schema";
import { create } from "@bufbuild/protobuf";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { DaemonState } from "../DaemonState.js";
import type { AuthenticatedCustomer } from "./authenticate.js";
import { chooseCell } from "./chooseCell.js";
import type { JobFields } from "./parseJobFields.js";
import { parseJobFields } from "./parseJobFields.js";
import type { BodyFields } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";
import type { Submission } from "./Submission.js";

/** A job that a customer submits, as the request describes it. */
export type SubmissionRequest = {
    readonly authenticatedCustomer: AuthenticatedCustomer;
    readonly kind: Kind;
    readonly kindName: string;
    /** The fields of the request's body, not yet validated. */
    readonly fields: BodyFields;
};

/**
 * Creates the job that a request describes and chooses its cell.
 *
 * @param state - The daemon's state, which knows the cells.
 * @param request - The customer, the kind of the job and its other fields.
 * @returns The queued job with its cell, or the refusal if the kind is not for jobs, a field is not valid, or
 *     the job exceeds the customer's quota or fits into no cell.
 *
 * @example
 * const planned = planSubmission(state, { authenticatedCustomer, kind, kindName: "batch", fields });
 */
export function planSubmission(state: DaemonState, request: SubmissionRequest): Result<Submission, Reply> {
    const { kind, kindName, fields } = request;
    const { customer, customerSettings, activeConfiguration } = request.authenticatedCustomer;
    if (kind.work !== Work.JOB) {
        const message = `The kind '${kindName}' is for requests. Send it to '/v1/requests'.`;
        return err(refuse(Reason.WRONG_WORK, message));
    }
    const parsed = parseJobFields(fields);
    if (parsed.isErr()) {
        return err(parsed.error);
    }
    const { shape } = parsed.value;
    const acceleratorsNeeded = countAccelerators(shape);
    if (acceleratorsNeeded > customerSettings.quotaAccelerators) {
        const message =
            `The job needs ${acceleratorsNeeded} accelerators; the quota is ${customerSettings.quotaAccelerators}. Request fewer.`;
        return err(refuse(Reason.QUOTA_EXCEEDED, message));
    }
    const cell = chooseCell(activeConfiguration, listCellSummaries(state), { customer, kind, shape });
    if (cell === undefined) {
        return err(refuseShape(kind));
    }
    return ok({ cell, job: createJob(cell, customer, kindName, parsed.value) });
}

/** Returns the summaries of all known cells: those of this daemon, and those of its peers. */
function listCellSummaries(state: DaemonState): readonly CellSummary[] {
    const ownSummaries = [...state.ownedCells.values()].map(cell => cell.summarize());
    return [...ownSummaries, ...state.membership.freshHeartbeats().flatMap(heartbeat => heartbeat.cells)];
}

function refuseShape(kind: Kind): Reply {
    const message = kind.preemptible
        ? "The job does not fit into any cell, even an empty one. Request fewer members or a looser adjacency."
        : "The kind is not preemptible and no guarantee of the customer fits the job. Request a smaller shape.";
    return refuse(Reason.SHAPE_IMPOSSIBLE, message);
}

function createJob(cell: CellId, customer: CustomerId, kind: string, { shape, runMs }: JobFields): Job {
    return create(JobSchema, {
        id: `${cell}-${randomUUID().replaceAll("-", "").slice(0, 20)}`,
        customer,
        kind,
        shape,
        declaredRunMs: BigInt(runMs),
        stage: JobStage.QUEUED,
        submittedAtMs: BigInt(Date.now()),
    });
}
