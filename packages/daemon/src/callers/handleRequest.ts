import { MAX_QUEUED_REQUESTS, MAX_QUEUED_REQUESTS_PER_CALLER } from "@balsamward/admission";
import type { Kind } from "@balsamward/schema";
import { Reason, Work } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { randomUUID } from "node:crypto";
import type { IncomingMessage } from "node:http";
import type { Dispatcher } from "undici";
import type { DaemonState, KindControl } from "../DaemonState.js";
import type { Authenticated } from "./authenticate.js";
import { authenticate } from "./authenticate.js";
import { readIdempotencyKey } from "./readIdempotencyKey.js";
import type { BodyFields } from "./readRequestBody.js";
import { readRequestBody } from "./readRequestBody.js";
import { refuse } from "./refuse.js";
import type { Reply } from "./Reply.js";
import { serveOnce } from "./serveOnce.js";
import { serveWork } from "./serveWork.js";

/** A reply with the kind of work that it is counted under. */
export type CountedReply = { readonly kind: string; readonly reply: Reply };

type Admitted = {
    readonly authenticated: Authenticated;
    readonly kindName: string;
    readonly kind: Kind;
    readonly control: KindControl;
    readonly fields: BodyFields;
};

/**
 * Handles `POST /v1/requests`.
 *
 * @param state - The daemon.
 * @param dispatcher - The connections to endpoints.
 * @param req - The request.
 * @returns The answer.
 *
 * @example
 * const { reply } = await handleRequest(state, dispatcher, req);
 */
export async function handleRequest(
    state: DaemonState,
    dispatcher: Dispatcher,
    req: IncomingMessage,
): Promise<CountedReply> {
    const arrivedAt = performance.now();
    const admitted = await admitRequest(state, req);
    if (admitted.isErr()) {
        return { kind: "none", reply: admitted.error };
    }
    const { kindName, kind, control } = admitted.value;
    const key = readIdempotencyKey(req, kind);
    if (key.isErr()) {
        return { kind: kindName, reply: key.error };
    }
    const limited = control.limiter.admit();
    if (limited.isErr()) {
        const reason = limited.error.kind === "rate-limit" ? Reason.RATE_LIMIT : Reason.CONCURRENCY_LIMIT;
        return { kind: kindName, reply: refuse(reason, limited.error.message, limited.error) };
    }
    try {
        const deadline = arrivedAt + kind.deadlineMs;
        return {
            kind: kindName,
            reply: await serveAdmitted(state, dispatcher, admitted.value, key.value, deadline),
        };
    }
    finally {
        control.limiter.release();
    }
}

async function admitRequest(state: DaemonState, req: IncomingMessage): Promise<Result<Admitted, Reply>> {
    const authenticated = authenticate(state, req);
    if (authenticated.isErr()) {
        return err(authenticated.error);
    }
    const fields = await readRequestBody(req);
    if (fields.isErr()) {
        return err(fields.error);
    }
    const kindName = String(fields.value["kind"] ?? "");
    const kind = findKind(authenticated.value, kindName);
    const control = state.kinds.get(kindName);
    if (kind === undefined || control === undefined) {
        return err(
            refuse(Reason.UNKNOWN_KIND, "The document has no such kind of work. Check the field 'kind'."),
        );
    }
    if (kind.work !== Work.REQUEST) {
        return err(refuse(Reason.WRONG_WORK, `'${kindName}' is a kind of job. Send it to '/v1/jobs'.`));
    }
    return ok({ authenticated: authenticated.value, kindName, kind, control, fields: fields.value });
}

/**
 * Finds a kind of work by its name in the document in force.
 *
 * @param authenticated - The customer with its configuration.
 * @param name - The name that the caller wrote.
 * @returns The kind, or `undefined` if there is none.
 *
 * @example
 * findKind(authenticated, "walk-in");
 */
export function findKind(authenticated: Authenticated, name: string): Kind | undefined {
    const kinds = authenticated.configured.document.kind;
    return Object.hasOwn(kinds, name) ? kinds[name] : undefined;
}

function serveAdmitted(
    state: DaemonState,
    dispatcher: Dispatcher,
    admitted: Admitted,
    key: string | undefined,
    deadline: number,
): Promise<Reply> {
    const { kind, kindName, control, authenticated, fields } = admitted;
    const body = JSON.stringify(fields["payload"] ?? {});
    const work = { requestId: randomUUID(), kind: kindName, body };
    const service = { state, dispatcher, kind, retries: control.retries, work, deadline };
    const run = () => enqueue(state, admitted, deadline, () => serveWork(service));
    return key === undefined
        ? run()
        : serveOnce(state, {
            customer: authenticated.customer,
            idempotencyKey: key,
            content: `${kindName} ${body}`,
            deadline,
            run,
        });
}

/** Waits for a turn in the fair queue; a request whose deadline has passed meanwhile is not sent. */
async function enqueue(
    state: DaemonState,
    admitted: Admitted,
    deadline: number,
    run: () => Promise<Reply>,
): Promise<Reply> {
    const { authenticated, kind, fields } = admitted;
    const caller = String(fields["caller"] ?? "");
    if (
        state.queue.size >= MAX_QUEUED_REQUESTS
        || callerBacklog(state, authenticated.customer, caller) >= MAX_QUEUED_REQUESTS_PER_CALLER
    ) {
        return refuse(Reason.QUEUE_FULL, "Too many requests wait. Try again later.", { retryAfterMs: 1_000 });
    }
    const order = {
        urgency: kind.urgency,
        customer: authenticated.customer,
        weight: authenticated.entry.weight,
        caller,
    };
    return state.queue.add(
        () =>
            performance.now() >= deadline
                ? Promise.resolve(
                    refuse(Reason.DEADLINE, "The deadline passed in the queue.", { retryAfterMs: 1_000 }),
                )
                : run(),
        order,
    );
}

function callerBacklog(state: DaemonState, customer: string, caller: string): number {
    return state.queue.sizeBy({ customer, caller });
}
