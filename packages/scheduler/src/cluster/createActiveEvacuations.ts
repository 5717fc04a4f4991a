import type { Logger } from "winston";
import type { Metrics } from "../Metrics.js";

const MS_PER_SECOND = 1_000;

/** What the store has told about the evacuation of a data centre. */
export type EvacuationRecord = {
    readonly dataCentre: string;
    /** Store revision at which the request was written or removed. */
    readonly revision: number;
    /** Whether the request exists. */
    readonly isRequested: boolean;
};

/** Call of the store that has shown an evacuation. */
export type EvacuationSource = "list" | "watch";

/** Holds the evacuations that operators request. Answers of the store that newer ones have overtaken change nothing. */
export type ActiveEvacuations = {
    /** Returns the data centres to which no work may be sent. */
    readonly current: () => ReadonlySet<string>;
    /** Applies a list of all requests, as of a store revision. */
    readonly applyList: (requests: readonly EvacuationRecord[], revision: number) => void;
    /** Applies a request that was written or removed. */
    readonly applyChange: (record: EvacuationRecord) => void;
    /** Called after an evacuation has begun or ended. */
    onChange: () => void;
};

/** Options of `createActiveEvacuations`. */
export type ActiveEvacuationsOptions = { readonly log: Logger; readonly metrics: Metrics };

/**
 * Creates the holder of the evacuations that a daemon knows.
 *
 * @param options - Log and metrics.
 * @returns The holder, without evacuations.
 */
export function createActiveEvacuations({ log, metrics }: ActiveEvacuationsOptions): ActiveEvacuations {
    /** Changes after the latest list, and the requests in it. */
    const records = new Map<string, EvacuationRecord>();
    let listedRevision = Number.NEGATIVE_INFINITY;
    let current: ReadonlySet<string> = new Set();
    const update = (source: EvacuationSource): void => {
        const previous = current;
        const requested = [...records.values()].filter(({ isRequested }) => isRequested);
        current = new Set(requested.map(({ dataCentre }) => dataCentre));
        const begun = requested.filter(({ dataCentre }) => !previous.has(dataCentre));
        const ended = [...previous].filter(dataCentre => !current.has(dataCentre));
        for (const { dataCentre, revision } of begun) {
            log.info("The evacuation of a data centre begins.", { dataCentre, revision, source });
            metrics.evacuationBegan.set({ data_centre: dataCentre }, Date.now() / MS_PER_SECOND);
        }
        for (const dataCentre of ended) {
            const revision = records.get(dataCentre)?.revision ?? listedRevision;
            log.info("The evacuation of a data centre ends.", { dataCentre, revision, source });
            metrics.evacuationRevision.remove({ data_centre: dataCentre });
            metrics.evacuationBegan.remove({ data_centre: dataCentre });
        }
        // A request may have been removed and written again between two answers.
        requested.forEach(({ dataCentre, revision }) =>
            metrics.evacuationRevision.set({ data_centre: dataCentre }, revision)
        );
        if (begun.length > 0 || ended.length > 0) {
            evacuations.onChange();
        }
    };
    const evacuations: ActiveEvacuations = {
        current: () => current,
        applyList: (requests, revision) => {
            if (revision < listedRevision) {
                return;
            }
            listedRevision = revision;
            const laterRecords = [...records.values()].filter(record => record.revision > revision);
            records.clear();
            [...requests, ...laterRecords].forEach(record => putIfNewer(records, record));
            update("list");
        },
        applyChange: record => {
            if (record.revision > listedRevision) {
                putIfNewer(records, record);
                update("watch");
            }
        },
        onChange: () => {},
    };
    return evacuations;
}

function putIfNewer(records: Map<string, EvacuationRecord>, record: EvacuationRecord): void {
    const known = records.get(record.dataCentre);
    if (known === undefined || known.revision < record.revision) {
        records.set(record.dataCentre, record);
    }
}
