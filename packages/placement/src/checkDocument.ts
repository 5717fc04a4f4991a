import type { Document, InputError } from "@balsamward/schema";
import { parseDocument } from "@balsamward/schema";
import type { Result } from "neverthrow";
import { err, ok } from "neverthrow";
import { divideGuarantees } from "./divideGuarantees.js";

/**
 * Parses a document and checks that its configured fleet can hold all guarantees at once.
 *
 * @param text - The document's INI text.
 * @returns The document, or every error with its line number and a remedy.
 *
 * @example
 * checkDocument(text).isOk();
 */
export function checkDocument(text: string): Result<Document, readonly InputError[]> {
    return parseDocument(text).andThen(document => {
        const division = divideGuarantees(document);
        return division.isOk() ? ok(document) : err(division.error.map((unpackable): InputError => {
            const key = `customer.${unpackable.customer}.guarantee.${unpackable.guarantee}`;
            const line = text.split("\n").findIndex(headerLine => headerLine.trim() === `[${key}]`) + 1;
            return {
                kind: "unpackable-guarantee",
                message: `Line ${line}: ${unpackable.message}`,
                line,
                key,
            };
        }));
    });
}
