import type { DescMessage, MessageShape } from "@bufbuild/protobuf";
import { fromBinary } from "@bufbuild/protobuf";
import type { Scheduler } from "../Scheduler.js";

/**
 * Decodes a stored record.
 *
 * @param scheduler - The scheduler, whose log reports a malformed record.
 * @param desc - Schema of the record.
 * @param item - Store item that holds the record.
 * @returns The record, or `undefined` if it is malformed.
 */
export function decodeRecord<Desc extends DescMessage>(
    scheduler: Pick<Scheduler, "log">,
    desc: Desc,
    item: { readonly key: string; readonly value: Uint8Array },
): MessageShape<Desc> | undefined {
    try {
        return fromBinary(desc, item.value);
    }
    catch (error) {
        scheduler.log.error("A stored record cannot be decoded. Remove its key from the store.", {
            key: item.key,
            error: String(error),
        });
        return undefined;
    }
}
