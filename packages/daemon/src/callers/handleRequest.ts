import { MAX_QUEUED_REQUESTS, MAX_QUEUED_REQUESTS_PER_CALLER } from "@balsamward/admission";
import type { Kind } from "@balsamward/schema";
import { Reason, Work } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Dispatcher } from "undici";
import type { DaemonState, KindControl } from "../DaemonState.js";
import type { AuthenticatedCustomer } from "./authenticate.js";
import { authenticate } from "./authenticate.js";
import { findKind } from "./findKind.js";
import { readIdempotencyKey } from "./readIdempotencyKey.js";
import type { BodyFields } from "./readRequestBody.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import { refuseUnknownKind } from "./refuseUnknownKind.js";
import type { Reply, ReplyWithKind } from "./Reply.js";
import { sendWithRetries } from "./sendWithRetries.js";
import { serveAtMostOnce } from "./serveAtMostOnce.js";

type ValidatedRequest = {
    readonly authenticatedCustomer: AuthenticatedCustomer;
    readonly kindName: string;
    readonly kind: Kind;
    readonly control: KindControl;
    readonly fields: BodyFields;
};

/**
 * Handles `POST /v1/requests`, which runs a request at an endpoint.
 *
 * @param state - The daemon's state.
 * @param dispatcher - The HTTP connections to endpoints.
 * @param req - The HTTP request.
 * @returns The reply.
 *
 * @example
 * const { reply } = await handleRequest(state, dispatcher, req);
 */
export async function handleRequest(
    state: DaemonState,
    dispatcher: Dispatcher,
    req: IncomingMessage,
): Promise<ReplyWithKind> {
    const arrivedAt = performance.now();
    const validated = await validateRequest(state, req);
    if (validated.isErr()) {
        return { kind: "none", reply: validated.error };
    }
    const { kindName, kind, control } = validated.value;
    const idempotencyKey = readIdempotencyKey(req, kind);
    if (idempotencyKey.isErr()) {
        return { kind: kindName, reply: idempotencyKey.error };
    }
    const admission = control.limiter.admit();
    if (admission.isErr()) {
        const reason = admission.error.kind === "rate-limit" ? Reason.RATE_LIMIT : Reason.CONCURRENCY_LIMIT;
        return { kind: kindName, reply: refuse(reason, admission.error.message, admission.error) };
    }
    try {
        const deadline = arrivedAt + kind.deadlineMs;
        return {
            kind: kindName,
            reply: await serveRequest(state, dispatcher, validated.value, idempotencyKey.value, deadline),
        };
    }
    finally {
        control.limiter.release();
    }
}

async function validateRequest(
    state: DaemonState,
    req: IncomingMessage,
): Promise<Result<ValidatedRequest, Reply>> {
    const authenticatedCustomer = authenticate(state, req);
    if (authenticatedCustomer.isErr()) {
        return err(authenticatedCustomer.error);
    }
    const fields = await readRequestBody(req);
    if (fields.isErr()) {
        return err(fields.error);
    }
    const kindName = String(fields.value["kind"] ?? "");
    const kind = findKind(authenticatedCustomer.value, kindName);
    const control = state.kindControls.get(kindName);
    if (kind === undefined || control === undefined) {
        return err(refuseUnknownKind());
    }
    if (kind.work !== Work.REQUEST) {
        return err(refuse(Reason.WRONG_WORK, `The kind '${kindName}' is for jobs. Send it to '/v1/jobs'.`));
    }
    return ok({
        authenticatedCustomer: authenticatedCustomer.value,
        kindName,
        kind,
        control,
        fields: fields.value,
    });
}

function serveRequest(
    state: DaemonState,
    dispatcher: Dispatcher,
    request: ValidatedRequest,
    idempotencyKey: string | undefined,
    deadline: number,
): Promise<Reply> {
    const { kind, kindName, control, authenticatedCustomer, fields } = request;
    const body = JSON.stringify(fields["payload"] ?? {});
    const endpointRequest = { requestId: randomUUID(), kind: kindName, body };
    const context = {
        state,
        dispatcher,
        kind,
        retryBudget: control.retryBudget,
        request: endpointRequest,
        deadline,
    };
    const run = () => enqueueRequest(state, request, deadline, () => sendWithRetries(context));
    return idempotencyKey === undefined
        ? run()
        : serveAtMostOnce(state, {
            customer: authenticatedCustomer.customer,
            idempotencyKey,
            content: `${kindName} ${body}`,
            deadline,
            run,
        });
}

/** Runs a request when the fair queue schedules it; refuses it if the queue is full or the deadline passes first. */
async function enqueueRequest(
    state: DaemonState,
    request: ValidatedRequest,
    deadline: number,
    run: () => Promise<Reply>,
): Promise<Reply> {
    const { authenticatedCustomer, kind, fields } = request;
    const caller = String(fields["caller"] ?? "");
    if (
        state.requestQueue.size >= MAX_QUEUED_REQUESTS
        || countQueuedRequests(state, authenticatedCustomer.customer, caller)
            >= MAX_QUEUED_REQUESTS_PER_CALLER
    ) {
        return refuse(Reason.QUEUE_FULL, "Too many requests are queued. Try again later.", {
            retryAfterMs: 1_000,
        });
    }
    const queueOptions = {
        urgency: kind.urgency,
        customer: authenticatedCustomer.customer,
        weight: authenticatedCustomer.customerSettings.weight,
        caller,
    };
    return state.requestQueue.add(
        () =>
            performance.now() >= deadline
                ? Promise.resolve(
                    refuse(
                        Reason.DEADLINE,
                        "The request reached its deadline in the queue. Try again later.",
                        { retryAfterMs: 1_000 },
                    ),
                )
                : run(),
        queueOptions,
    );
}

function countQueuedRequests(state: DaemonState, customer: string, caller: string): number {
    return state.requestQueue.sizeBy({ customer, caller });
}
