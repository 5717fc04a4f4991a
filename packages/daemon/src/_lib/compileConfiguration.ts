import { divideGuarantees, listConfiguredCells } from "@balsamward/placement";
import type { Configuration } from "@balsamward/schema";
import { parseDocument } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import type { ActiveConfiguration } from "./ActiveConfiguration.js";

/**
 * Parses the document of an accepted configuration and derives the data that a daemon needs from it.
 *
 * @param configuration - The configuration.
 * @returns The active configuration, or the error messages if this version cannot use the document.
 */
export function compileConfiguration(configuration: Configuration): Result<ActiveConfiguration, string> {
    const document = parseDocument(configuration.text);
    if (document.isErr()) {
        return err(document.error.map(error => error.message).join(" "));
    }
    const guaranteeDivision = divideGuarantees(document.value);
    if (guaranteeDivision.isErr()) {
        return err(guaranteeDivision.error.map(error => error.message).join(" "));
    }
    const customersByTokenDigest = new Map<string, string>();
    for (const [customer, entry] of Object.entries(document.value.customer)) {
        for (const digest of entry.tokenSha256) {
            customersByTokenDigest.set(digest, customer);
        }
    }
    return ok({
        configuration,
        document: document.value,
        guaranteeDivision: guaranteeDivision.value,
        cells: listConfiguredCells(document.value),
        customersByTokenDigest,
        customersByToken: new Map(),
    });
}
