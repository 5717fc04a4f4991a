import { divideGuarantees, listConfiguredCells } from "@balsamward/placement";
import type { Configuration } from "@balsamward/schema";
import { parseDocument } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { Configured } from "./Configured.js";

/**
 * Derives what a daemon needs from an accepted configuration.
 *
 * @param configuration - The configuration.
 * @returns What follows from it, or a message if this program cannot read the document.
 */
export function applyConfiguration(configuration: Configuration): Result<Configured, string> {
    const document = parseDocument(configuration.text);
    if (document.isErr()) {
        return err(document.error.map(error => error.message).join(" "));
    }
    const division = divideGuarantees(document.value);
    if (division.isErr()) {
        return err(division.error.map(error => error.message).join(" "));
    }
    const customers = new Map<string, string>();
    for (const [customer, entry] of Object.entries(document.value.customer)) {
        for (const digest of entry.tokenSha256) {
            customers.set(digest, customer);
        }
    }
    return ok({
        configuration,
        document: document.value,
        division: division.value,
        cells: listConfiguredCells(document.value),
        customers,
        seenTokens: new Map(),
    });
}
