import type { DataCentreId, EndpointId } from "@balsamward/schema";
import {
    EJECTION_FAILURE_THRESHOLD,
    EJECTION_INITIAL_MS,
    EJECTION_MAX_MS,
    ENDPOINT_CONCURRENCY,
    MAX_EJECTED_SHARE,
} from "./constants.js";

/** An endpoint, as described by the platform's list of VMs. */
export type Endpoint = {
    readonly id: EndpointId;
    /** Base URL in the form `http://IP:port`. */
    readonly address: string;
    readonly dataCentre: DataCentreId;
    /** Whether the endpoint is about to shut down and takes no new work. */
    readonly leaving: boolean;
};

/** How an attempt to run a request on an endpoint ended. */
export type AttemptResult = "succeeded" | "failed" | "busy" | "leaving";

/** Chooses an endpoint for each attempt and tracks the load and health of the endpoints. */
export type EndpointPool = {
    /** Replaces the set of endpoints. The load and health of endpoints that remain are kept. */
    readonly update: (endpoints: readonly Endpoint[]) => void;
    /** Reserves a slot on an endpoint that is not in `exclude`, or returns `undefined` if none is usable. */
    readonly acquire: (exclude: ReadonlySet<EndpointId>) => Endpoint | undefined;
    /** Releases the slot and records the result of the attempt. */
    readonly release: (endpoint: EndpointId, result: AttemptResult) => void;
    /** Marks an endpoint as leaving, for example after a report from a peer. */
    readonly markLeaving: (endpoint: EndpointId) => void;
    /** Returns the endpoints that are leaving. */
    readonly leaving: () => readonly EndpointId[];
    /** Returns the total number of slots, free or not, on the endpoints that are not leaving. */
    readonly capacity: () => number;
};

type Entry = {
    endpoint: Endpoint;
    /** Number of slots in use. */
    outstanding: number;
    /** Number of consecutive failures since the last success or ejection. */
    failures: number;
    /** Number of ejections since the last success. */
    ejections: number;
    /** Monotonic time in milliseconds until which the endpoint gets no attempts. */
    ejectedUntil: number;
    leaving: boolean;
};

/** Options of `createEndpointPool`. */
export type CreateEndpointPoolOptions = {
    /** Data centre of this daemon; its endpoints are preferred. */
    readonly dataCentre: DataCentreId;
    /** Returns a monotonic time in milliseconds. */
    readonly clock: () => number;
    /** Returns a number from 0 to below 1. */
    readonly random: () => number;
};

/**
 * Creates a pool that chooses the less loaded of two random endpoints.
 *
 * Endpoints of the daemon's own data centre are preferred; others are used only when none of these is
 * usable. An endpoint that fails several times in a row is ejected for a time that doubles with each
 * ejection, while at most `MAX_EJECTED_SHARE` of all endpoints are ejected. An endpoint gets no new work
 * once any source reports that it is leaving, even if the list of VMs still shows it as live.
 *
 * @param options - Data centre of this daemon, clock and random source.
 * @returns The pool.
 *
 * @example
 * const pool = createEndpointPool({ dataCentre, clock, random });
 */
export function createEndpointPool(options: CreateEndpointPoolOptions): EndpointPool {
    const entries = new Map<EndpointId, Entry>();
    let localEntries: readonly Entry[] = [];
    let remoteEntries: readonly Entry[] = [];
    const isUsable = (entry: Entry) =>
        !entry.leaving && entry.ejectedUntil <= options.clock() && entry.outstanding < ENDPOINT_CONCURRENCY;

    /** Returns the less loaded of two usable entries, each the first one found from a random position. */
    function choose(candidates: readonly Entry[], exclude: ReadonlySet<EndpointId>): Entry | undefined {
        const first = findUsable(candidates, exclude);
        const second = findUsable(candidates, exclude);
        return first !== undefined && second !== undefined && second.outstanding < first.outstanding
            ? second
            : first;
    }

    function findUsable(candidates: readonly Entry[], exclude: ReadonlySet<EndpointId>): Entry | undefined {
        const start = Math.floor(options.random() * candidates.length);
        for (let offset = 0; offset < candidates.length; offset++) {
            const entry = candidates[(start + offset) % candidates.length]!;
            if (isUsable(entry) && !exclude.has(entry.endpoint.id)) {
                return entry;
            }
        }
        return undefined;
    }

    function eject(entry: Entry): void {
        const now = options.clock();
        const ejectedCount = [...entries.values()].filter(other => other.ejectedUntil > now).length;
        if (ejectedCount + 1 > entries.size * MAX_EJECTED_SHARE) {
            return;
        }
        entry.ejectedUntil = now + Math.min(EJECTION_MAX_MS, EJECTION_INITIAL_MS * 2 ** entry.ejections);
        entry.ejections += 1;
        entry.failures = 0;
    }

    return {
        update: endpoints => {
            const ids = new Set(endpoints.map(endpoint => endpoint.id));
            for (const id of entries.keys()) {
                if (!ids.has(id)) {
                    entries.delete(id);
                }
            }
            for (const endpoint of endpoints) {
                const entry = entries.get(endpoint.id) ?? createEntry(endpoint);
                entry.endpoint = endpoint;
                entry.leaving ||= endpoint.leaving;
                entries.set(endpoint.id, entry);
            }
            const all = [...entries.values()];
            localEntries = all.filter(entry => entry.endpoint.dataCentre === options.dataCentre);
            remoteEntries = all.filter(entry => entry.endpoint.dataCentre !== options.dataCentre);
        },
        acquire: exclude => {
            const entry = choose(localEntries, exclude) ?? choose(remoteEntries, exclude);
            if (entry !== undefined) {
                entry.outstanding += 1;
            }
            return entry?.endpoint;
        },
        release: (id, result) => {
            const entry = entries.get(id);
            if (entry === undefined) {
                return;
            }
            entry.outstanding -= 1;
            recordResult(entry, result, eject);
        },
        markLeaving: id => {
            const entry = entries.get(id);
            if (entry !== undefined) {
                entry.leaving = true;
            }
        },
        leaving: () => [...entries.values()].filter(entry => entry.leaving).map(entry => entry.endpoint.id),
        capacity: () => [...entries.values()].filter(entry => !entry.leaving).length * ENDPOINT_CONCURRENCY,
    };
}

function createEntry(endpoint: Endpoint): Entry {
    return { endpoint, outstanding: 0, failures: 0, ejections: 0, ejectedUntil: 0, leaving: false };
}

function recordResult(entry: Entry, result: AttemptResult, eject: (entry: Entry) => void): void {
    switch (result) {
        case "succeeded":
            entry.failures = 0;
            entry.ejections = 0;
            return;
        case "failed":
            entry.failures += 1;
            if (entry.failures >= EJECTION_FAILURE_THRESHOLD) {
                eject(entry);
            }
            return;
        case "busy":
            return;
        case "leaving":
            entry.leaving = true;
            return;
        default:
            result satisfies never;
    }
}
