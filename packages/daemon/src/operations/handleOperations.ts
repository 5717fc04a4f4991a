import type { AcceptanceError, Environment } from "@balsamward/coordination";
import { acceptDocument, configurationKey, ledgerKey, promoteDocument } from "@balsamward/coordination";
import { checkDocument, nominalCells } from "@balsamward/placement";
import type { CellId, Configuration, InspectCellResponse, Job } from "@balsamward/schema";
import { ConfigurationSchema, LedgerPageSchema, Outcome, Reason } from "@balsamward/schema";
import { refuse } from "../callers/refuse.js";
import type { Reply } from "../callers/Reply.js";
import type { DaemonState } from "../DaemonState.js";
import type { CellRouter } from "../peers/CellRouter.js";
import { describeJob } from "./describeJob.js";

/** What an operator sends with a document or a promotion. */
export type OperatorFields = {
    readonly text?: string;
    readonly author?: string;
    readonly digest?: string;
    readonly expected_generation?: number;
};

/**
 * Checks a document and puts it into the trial environment.
 *
 * @param state - The daemon.
 * @param fields - The document's text and its author.
 * @returns The answer with the accepted generation.
 *
 * @example
 * await tryDocument(state, { text, author: "ana" });
 */
export async function tryDocument(state: DaemonState, fields: OperatorFields): Promise<Reply> {
    const text = fields.text ?? "";
    const checked = checkDocument(text);
    if (checked.isErr()) {
        return refuse(Reason.BAD_DOCUMENT, checked.error.map(error => error.message).join("\n"));
    }
    const accepted = await acceptDocument(state.store, "trial", { text, ...proposalOf(fields) });
    return accepted.isOk()
        ? describeAccepted(state, "trial", accepted.value)
        : describeRejected(accepted.error);
}

/**
 * Promotes the trial's document, byte for byte, to production.
 *
 * @param state - The daemon.
 * @param fields - The digest that was tried and the author.
 * @returns The answer with the accepted generation.
 *
 * @example
 * await promote(state, { digest, author: "ana" });
 */
export async function promote(state: DaemonState, fields: OperatorFields): Promise<Reply> {
    const promoted = await promoteDocument(state.store, fields.digest, proposalOf(fields));
    return promoted.isOk()
        ? describeAccepted(state, "production", promoted.value)
        : describeRejected(promoted.error);
}

/**
 * Returns the configuration of an environment with its history.
 *
 * @param state - The daemon.
 * @param environment - The environment.
 * @returns The answer.
 *
 * @example
 * await showConfiguration(state, "production");
 */
export async function showConfiguration(state: DaemonState, environment: Environment): Promise<Reply> {
    const read = await state.store.read(ConfigurationSchema, configurationKey(environment));
    if (read.isErr()) {
        return refuse(Reason.STORE_UNAVAILABLE, read.error.message, { retryAfterMs: 2_000 });
    }
    if (read.value === undefined) {
        return refuse(
            Reason.NOT_FOUND,
            `No document is in force in '${environment}'. Run 'balsamward try FILE'.`,
        );
    }
    const { generation, digest, text, author, acceptedAtMs, history } = read.value.message;
    const entries = [{ generation, digest, author, acceptedAtMs }, ...history];
    return succeed({
        environment,
        generation: Number(generation),
        digest,
        text,
        history: entries.map(entry => ({
            generation: Number(entry.generation),
            digest: entry.digest,
            author: entry.author,
            accepted_at_ms: Number(entry.acceptedAtMs),
        })),
    });
}

/**
 * Describes the daemon, its peers and the owners of cells.
 *
 * @param state - The daemon.
 * @returns The answer.
 *
 * @example
 * showStatus(state);
 */
export function showStatus(state: DaemonState): Reply {
    const { members, owners } = state.membership;
    return succeed({
        node: state.node,
        data_centre: state.dataCentre,
        environment: state.environment,
        generation: Number(state.configured?.configuration.generation ?? 0n),
        digest: state.configured?.configuration.digest ?? "",
        watch_age_ms: Math.round(performance.now() - state.watchedAt),
        members: [...members.values()].map(member => ({
            node: member.node,
            data_centre: member.dataCentre,
            generation: Number(generationOf(state, member.node)),
            heard: member.node === state.node
                || state.membership.heartbeatOf(member.node as never) !== undefined,
        })),
        cells: listNominal(state).map(cell => ({
            cell,
            owner: owners.get(cell)?.node,
            epoch: owners.get(cell)?.revision,
        })),
        shortfalls: [...state.owned.values()].flatMap(cell => cell.inspect().shortfalls)
            .map(({ customer, guarantee, gangs }) => ({ customer, guarantee, gangs })),
    });
}

/**
 * Describes racks and what holds them.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @returns The answer; cells whose owner cannot be reached are listed as missing.
 *
 * @example
 * await showFleet(state, router);
 */
export async function showFleet(state: DaemonState, router: CellRouter): Promise<Reply> {
    const views = await inspectAll(state, router);
    return succeed({
        cells: views.found.map(view => ({
            cell: view.cell,
            fragmentation: view.fragmentation,
            racks: view.racks.map(rack => ({
                rack: rack.rack,
                workers: rack.workers.map(({ worker, healthy, holders }) => ({ worker, healthy, holders })),
            })),
            shortfalls: view.shortfalls.map(({ customer, guarantee, gangs }) => ({
                customer,
                guarantee,
                gangs,
            })),
        })),
        missing: views.missing,
    });
}

/**
 * Reports the usage of every job, from the cells and from the ledger.
 *
 * @param state - The daemon.
 * @param router - Reaches the owners of cells.
 * @returns The answer; cells whose usage is not included are listed as missing.
 *
 * @example
 * await showUsage(state, router);
 */
export async function showUsage(state: DaemonState, router: CellRouter): Promise<Reply> {
    const views = await inspectAll(state, router);
    const jobs = new Map<string, Job>();
    for (const cell of listNominal(state)) {
        for (const job of await readLedger(state, cell)) {
            jobs.set(job.id, job);
        }
    }
    for (const job of views.found.flatMap(view => view.jobs)) {
        jobs.set(job.id, job);
    }
    return succeed({ jobs: [...jobs.values()].map(describeJob), missing: views.missing });
}

async function readLedger(state: DaemonState, cell: CellId): Promise<readonly Job[]> {
    const jobs: Job[] = [];
    for (let page = 0;; page++) {
        const read = await state.store.read(LedgerPageSchema, ledgerKey(state.environment, cell, page));
        if (read.isErr() || read.value === undefined) {
            return jobs;
        }
        jobs.push(...read.value.message.jobs);
    }
}

type CellViews = { readonly found: readonly InspectCellResponse[]; readonly missing: readonly CellId[] };

async function inspectAll(state: DaemonState, router: CellRouter): Promise<CellViews> {
    const cells = listNominal(state);
    const views = await Promise.all(cells.map(cell => router.inspect(cell)));
    return {
        found: views.filter(view => view !== undefined),
        missing: cells.filter((_, index) => views[index] === undefined),
    };
}

function listNominal(state: DaemonState): readonly CellId[] {
    return state.configured === undefined ? [] : nominalCells(state.configured.document).map(cell => cell.id);
}

function generationOf(state: DaemonState, node: string): bigint {
    return node === state.node
        ? state.configured?.configuration.generation ?? 0n
        : state.membership.heartbeatOf(node as never)?.configurationGeneration ?? 0n;
}

function proposalOf(fields: OperatorFields) {
    return {
        author: fields.author ?? "unknown",
        expectedGeneration: fields.expected_generation === undefined
            ? undefined
            : BigInt(fields.expected_generation),
        nowMs: Date.now(),
    };
}

function describeAccepted(state: DaemonState, environment: Environment, configuration: Configuration): Reply {
    if (environment === state.environment) {
        state.tracker.offer(configuration);
    }
    const { generation, digest } = configuration;
    return succeed({ environment, generation: Number(generation), digest });
}

function describeRejected(error: AcceptanceError): Reply {
    switch (error.kind) {
        case "superseded":
        case "conflict":
            return refuse(Reason.CONFLICT, error.message);
        case "nothing-tried":
            return refuse(Reason.NOT_FOUND, error.message);
        case "unclear": {
            const message =
                `${error.message} Run 'balsamward history' to see whether the document is in force.`;
            return { outcome: Outcome.UNKNOWN, reason: Reason.STORE_UNCLEAR, status: 504, message };
        }
        default:
            return refuse(Reason.STORE_UNAVAILABLE, error.message, { retryAfterMs: 2_000 });
    }
}

function succeed(fields: object): Reply {
    return { outcome: Outcome.COMPLETED, reason: Reason.NONE, status: 200, fields };
}
