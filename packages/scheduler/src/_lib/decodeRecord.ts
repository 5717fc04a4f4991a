import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import { fromBinary } from "@bufbuild/protobuf";
import type { Logger } from "winston";
import type { Metrics } from "../Metrics.js";

/** Options of `decodeRecord`. */
export type DecodeRecordOptions<Record> = {
    /** Returns whether the record's values can be used; by default, any can. */
    readonly isSound?: (record: Record) => boolean;
};

/**
 * Decodes a stored record. One that cannot be used is counted and logged.
 *
 * @param scheduler - Log and metrics, such as those of the scheduler.
 * @param desc - Schema of the record.
 * @param item - Store item that holds the record.
 * @param options - Check of the record's values.
 * @returns The record, or `undefined` if it is malformed or its values cannot be used.
 */
export function decodeRecord<Desc extends DescMessage>(
    { log, metrics }: { readonly log: Logger; readonly metrics: Metrics },
    desc: Desc,
    item: { readonly key: string; readonly value: Uint8Array },
    { isSound = () => true }: DecodeRecordOptions<MessageShape<Desc>> = {},
): MessageShape<Desc> | undefined {
    const record = parseRecord(desc, item.value);
    if (record !== undefined && isSound(record)) {
        return record;
    }
    metrics.ignoredRecords.inc({ record: desc.name });
    log.error("A stored record cannot be used and is ignored. Remove its key from the store.", {
        key: item.key,
        bytes: item.value.length,
        isDecoded: record !== undefined,
    });
    return undefined;
}

function parseRecord<Desc extends DescMessage>(
    desc: Desc,
    value: Uint8Array,
): MessageShape<Desc> | undefined {
    try {
        return fromBinary(desc, value);
    }
    catch {
        return undefined;
    }
}
